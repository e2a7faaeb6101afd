package org.radishpost.errors;

/** The connection could not be established; no byte of the call was sent. */
public class NotConnectedException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public NotConnectedException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public NotConnectedException(String message, Throwable cause) {
    super(message, cause);
  }
}
