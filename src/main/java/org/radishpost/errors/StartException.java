package org.radishpost.errors;

/** A process could not start. */
public class StartException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public StartException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public StartException(String message, Throwable cause) {
    super(message, cause);
  }
}
