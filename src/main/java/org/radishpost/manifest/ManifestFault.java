package org.radishpost.manifest;

/**
 * One thing that is wrong with a manifest.
 *
 * @param path where it is, such as {@code services[0].targets[3].slots}; empty for the whole
 * @param message what to do about it
 */
public record ManifestFault(String path, String message) {
  @Override
  public String toString() {
    return path.isEmpty() ? message : path + ": " + message;
  }
}
