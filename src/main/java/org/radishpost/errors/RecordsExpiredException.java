package org.radishpost.errors;

/** The log no longer retains the requested offset. */
public class RecordsExpiredException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public RecordsExpiredException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public RecordsExpiredException(String message, Throwable cause) {
    super(message, cause);
  }
}
