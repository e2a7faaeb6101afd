package org.radishpost.errors;

/** A link between two VMs failed, or the peer violated the protocol. */
public class LinkException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public LinkException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public LinkException(String message, Throwable cause) {
    super(message, cause);
  }
}
