package org.radishpost.errors;

/**
 * One fault in the settings.
 *
 * @param path the path of the faulty member, such as {@code limits.headerBytes}; empty for the
 *     whole document
 * @param message the fault and its remedy; must not contain the value of a key or token
 */
public record SettingsFault(String path, String message) {
  @Override
  public String toString() {
    return path.isEmpty() ? message : path + ": " + message;
  }
}
