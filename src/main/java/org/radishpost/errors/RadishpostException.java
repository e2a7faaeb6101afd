package org.radishpost.errors;

/**
 * The base class of all checked exceptions of this project.
 *
 * <p>A message describes the failure and, after a colon or a full stop, the remedy.
 */
public abstract class RadishpostException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  protected RadishpostException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  protected RadishpostException(String message, Throwable cause) {
    super(message, cause);
  }
}
