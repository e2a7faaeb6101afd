package org.radishpost.pgm;

import java.io.IOException;
import java.nio.file.Path;
import org.radishpost.errors.SettingsException;

/** Reads the input files of commands. */
final class InputFiles {
  private InputFiles() {}

  /**
   * Returns the contents of a file.
   *
   * @throws SettingsException if the file cannot be read
   */
  static byte[] read(Path file) throws SettingsException {
    try {
      return java.nio.file.Files.readAllBytes(file);
    } catch (IOException e) {
      throw new SettingsException(
          "The file " + file + " cannot be read: check the path and its permissions.", e);
    }
  }
}
