package org.radishpost.errors;

/**
 * The root of all checked exceptions of this project.
 *
 * <p>A message says what failed and, after a colon or a full stop, what to do about it.
 */
public abstract class RadishpostException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  protected RadishpostException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  protected RadishpostException(String message, Throwable cause) {
    super(message, cause);
  }
}
