package org.radishpost.errors;

/** The settings of a process are not acceptable. */
public class SettingsException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  /** Creates one with a message that names the remedy. */
  public SettingsException(String message) {
    super(message);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public SettingsException(String message, Throwable cause) {
    super(message, cause);
  }
}
