package org.radishpost.errors;

/**
 * The connection was lost after bytes of the call were sent and before the response was complete.
 */
public class ConnectionLostException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public ConnectionLostException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public ConnectionLostException(String message, Throwable cause) {
    super(message, cause);
  }
}
