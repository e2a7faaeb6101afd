package org.radishpost.errors;

/** No answer came before the call's time was over. */
public class ResponseTimeoutException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public ResponseTimeoutException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public ResponseTimeoutException(String message, Throwable cause) {
    super(message, cause);
  }
}
