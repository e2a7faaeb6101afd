package org.radishpost.errors;

import java.util.List;
import java.util.stream.Collectors;

/** The settings of a process are invalid. */
public class SettingsException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  private final transient List<SettingsFault> faults;

  /** Creates an exception with a message that includes the remedy. */
  public SettingsException(String message) {
    this(message, null);
  }

  /** Creates an exception with a cause and a message that includes the remedy. */
  public SettingsException(String message, Throwable cause) {
    super(message, cause);
    faults = List.of(new SettingsFault("", message));
  }

  /** Creates an exception with a message that lists all faults. */
  public SettingsException(List<SettingsFault> faults) {
    super(faults.stream().map(SettingsFault::toString).collect(Collectors.joining("; ")));
    this.faults = List.copyOf(faults);
  }

  /** Returns all faults, at least one. */
  public List<SettingsFault> faults() {
    return faults;
  }
}
