package org.radishpost.errors;

/** A response of the platform's store was created before the store was restored from a copy. */
public final class OutdatedResponseException extends StoreException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public OutdatedResponseException(String message) {
    super(message);
  }
}
