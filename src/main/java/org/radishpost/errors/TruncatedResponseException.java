package org.radishpost.errors;

/** The other end's answer has no end that can be told from a cut. */
public class TruncatedResponseException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public TruncatedResponseException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public TruncatedResponseException(String message, Throwable cause) {
    super(message, cause);
  }
}
