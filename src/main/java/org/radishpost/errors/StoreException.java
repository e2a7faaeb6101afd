package org.radishpost.errors;

/** The platform's store did not answer a call, or refused it. */
public class StoreException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public StoreException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public StoreException(String message, Throwable cause) {
    super(message, cause);
  }
}
