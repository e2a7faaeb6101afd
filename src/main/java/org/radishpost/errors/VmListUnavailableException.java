package org.radishpost.errors;

/** The platform's list of VMs could not be read. */
public class VmListUnavailableException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public VmListUnavailableException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public VmListUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }
}
