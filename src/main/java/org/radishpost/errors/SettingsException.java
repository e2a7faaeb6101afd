package org.radishpost.errors;

import java.util.List;
import java.util.stream.Collectors;

/** The settings of a process are not acceptable. */
public class SettingsException extends RadishpostException {
  private static final long serialVersionUID = 1L;

  private final transient List<SettingsFault> faults;

  /** Creates one with a message that names the remedy. */
  public SettingsException(String message) {
    this(message, null);
  }

  /** Creates one with a message that names the remedy, and its cause. */
  public SettingsException(String message, Throwable cause) {
    super(message, cause);
    faults = List.of(new SettingsFault("", message));
  }

  /** Creates one with a message that names each fault. */
  public SettingsException(List<SettingsFault> faults) {
    super(faults.stream().map(SettingsFault::toString).collect(Collectors.joining("; ")));
    this.faults = List.copyOf(faults);
  }

  /** Returns everything that is wrong, at least one fault. */
  public List<SettingsFault> faults() {
    return faults;
  }
}
