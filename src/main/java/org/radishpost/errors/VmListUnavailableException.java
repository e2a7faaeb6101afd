package org.radishpost.errors;

/** The platform's list of VMs could not be read. */
public class VmListUnavailableException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that includes the remedy. */
  public VmListUnavailableException(String message) {
    super(message);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public VmListUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }
}
