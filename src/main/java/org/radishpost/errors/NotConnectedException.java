package org.radishpost.errors;

/** No connection to the other end could be made, so that no byte of the call was sent. */
public class NotConnectedException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public NotConnectedException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public NotConnectedException(String message, Throwable cause) {
    super(message, cause);
  }
}
