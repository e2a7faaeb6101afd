package org.radishpost.errors;

/** The platform's store did not respond to a request or rejected it. */
public class StoreException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public StoreException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public StoreException(String message, Throwable cause) {
    super(message, cause);
  }
}
