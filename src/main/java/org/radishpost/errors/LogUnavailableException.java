package org.radishpost.errors;

/** The platform's log did not take the request; an append that fails so has not landed. */
public class LogUnavailableException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public LogUnavailableException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public LogUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }
}
