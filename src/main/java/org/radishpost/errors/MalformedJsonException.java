package org.radishpost.errors;

/** A document is not valid JSON or exceeds the limits on its size and structure. */
public class MalformedJsonException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public MalformedJsonException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public MalformedJsonException(String message, Throwable cause) {
    super(message, cause);
  }
}
