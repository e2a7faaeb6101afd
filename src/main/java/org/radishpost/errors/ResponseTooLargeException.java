package org.radishpost.errors;

/** A response is larger than any that its sender should send. */
public final class ResponseTooLargeException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception with a message that says what to do. */
  public ResponseTooLargeException(String message) {
    super(message);
  }
}
