package org.radishpost.errors;

/** A document of the platform cannot be parsed. */
public class PlatformDocumentException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public PlatformDocumentException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public PlatformDocumentException(String message, Throwable cause) {
    super(message, cause);
  }
}
