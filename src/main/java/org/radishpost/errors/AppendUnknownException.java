package org.radishpost.errors;

/** The answer to an append was lost; the record may have landed. */
public class AppendUnknownException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public AppendUnknownException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public AppendUnknownException(String message, Throwable cause) {
    super(message, cause);
  }
}
