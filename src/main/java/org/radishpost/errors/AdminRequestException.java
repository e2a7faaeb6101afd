package org.radishpost.errors;

/** A request to the administration API was refused or received no response. */
public class AdminRequestException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public AdminRequestException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public AdminRequestException(String message, Throwable cause) {
    super(message, cause);
  }
}
