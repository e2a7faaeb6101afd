package org.radishpost.errors;

/** The log no longer keeps the offset that a reader asked for. */
public class RecordsExpiredException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public RecordsExpiredException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public RecordsExpiredException(String message, Throwable cause) {
    super(message, cause);
  }
}
