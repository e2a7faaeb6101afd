package org.radishpost.errors;

/** A process could not be started. */
public class StartException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public StartException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public StartException(String message, Throwable cause) {
    super(message, cause);
  }
}
