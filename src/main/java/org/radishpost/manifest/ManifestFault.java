package org.radishpost.manifest;

/**
 * One fault in a manifest.
 *
 * @param path the path of the faulty member, such as {@code services[0].targets[3].slots}; empty
 *     for the whole document
 * @param message the fault and its remedy
 */
public record ManifestFault(String path, String message) {
  @Override
  public String toString() {
    return path.isEmpty() ? message : path + ": " + message;
  }
}
