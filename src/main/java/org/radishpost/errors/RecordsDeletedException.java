package org.radishpost.errors;

/** The requested records are no longer retained. */
public class RecordsDeletedException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public RecordsDeletedException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public RecordsDeletedException(String message, Throwable cause) {
    super(message, cause);
  }
}
