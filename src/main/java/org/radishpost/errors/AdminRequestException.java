package org.radishpost.errors;

/** A request to the administration API was refused or got no answer. */
public class AdminRequestException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public AdminRequestException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public AdminRequestException(String message, Throwable cause) {
    super(message, cause);
  }
}
