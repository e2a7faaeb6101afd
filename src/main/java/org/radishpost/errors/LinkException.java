package org.radishpost.errors;

/** A link between two VMs failed or its peer broke the protocol. */
public class LinkException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public LinkException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public LinkException(String message, Throwable cause) {
    super(message, cause);
  }
}
