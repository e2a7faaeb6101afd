package org.radishpost.errors;

/** The body of a request could not be sent whole: its caller broke off or it was too large. */
public class RequestBodyException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public RequestBodyException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public RequestBodyException(String message, Throwable cause) {
    super(message, cause);
  }
}
