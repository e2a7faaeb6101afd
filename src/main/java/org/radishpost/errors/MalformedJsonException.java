package org.radishpost.errors;

/** Bytes are not JSON text, or are beyond the bounds on it. */
public class MalformedJsonException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public MalformedJsonException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public MalformedJsonException(String message, Throwable cause) {
    super(message, cause);
  }
}
