package org.radishpost.errors;

/** A document of the platform can't be read. */
public class PlatformDocumentException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public PlatformDocumentException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public PlatformDocumentException(String message, Throwable cause) {
    super(message, cause);
  }
}
