package org.radishpost.errors;

/**
 * The platform's log did not accept the request. An append that fails with this exception has not
 * been stored.
 */
public class LogUnavailableException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public LogUnavailableException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public LogUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }
}
