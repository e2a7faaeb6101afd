package org.radishpost.errors;

/** A manifest or a configuration change is invalid. */
public class ManifestException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public ManifestException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public ManifestException(String message, Throwable cause) {
    super(message, cause);
  }
}
