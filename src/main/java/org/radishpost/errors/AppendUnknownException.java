package org.radishpost.errors;

/** The response to an append was lost; the record may have been appended. */
public class AppendUnknownException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public AppendUnknownException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public AppendUnknownException(String message, Throwable cause) {
    super(message, cause);
  }
}
