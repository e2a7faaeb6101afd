package org.radishpost.errors;

/**
 * One thing that is wrong with settings.
 *
 * @param path where it is, such as {@code limits.headerBytes}; empty for the whole
 * @param message what to do about it; never a value, which may be a secret
 */
public record SettingsFault(String path, String message) {
  @Override
  public String toString() {
    return path.isEmpty() ? message : path + ": " + message;
  }
}
