package org.radishpost.errors;

/**
 * A request body could not be sent completely: the caller aborted the request, or the body was too
 * large.
 */
public class RequestBodyException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public RequestBodyException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public RequestBodyException(String message, Throwable cause) {
    super(message, cause);
  }
}
