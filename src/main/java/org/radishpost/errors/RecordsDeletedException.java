package org.radishpost.errors;

/** The records that were asked for are no longer kept. */
public class RecordsDeletedException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public RecordsDeletedException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public RecordsDeletedException(String message, Throwable cause) {
    super(message, cause);
  }
}
