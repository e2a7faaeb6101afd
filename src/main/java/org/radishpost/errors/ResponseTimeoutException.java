package org.radishpost.errors;

/** No response arrived before the call's deadline. */
public class ResponseTimeoutException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public ResponseTimeoutException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public ResponseTimeoutException(String message, Throwable cause) {
    super(message, cause);
  }
}
