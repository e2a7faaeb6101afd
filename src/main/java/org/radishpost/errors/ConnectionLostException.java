package org.radishpost.errors;

/** The connection died after bytes of the call were sent and before the answer was whole. */
public class ConnectionLostException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public ConnectionLostException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public ConnectionLostException(String message, Throwable cause) {
    super(message, cause);
  }
}
