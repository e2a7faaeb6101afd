package org.radishpost.errors;

/** A response has neither a length nor chunks, so a truncated body could not be detected. */
public class UnframedResponseException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public UnframedResponseException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public UnframedResponseException(String message, Throwable cause) {
    super(message, cause);
  }
}
