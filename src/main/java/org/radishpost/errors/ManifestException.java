package org.radishpost.errors;

/** A manifest or a change of configuration is not acceptable. */
public class ManifestException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public ManifestException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public ManifestException(String message, Throwable cause) {
    super(message, cause);
  }
}
