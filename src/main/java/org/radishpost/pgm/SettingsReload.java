package org.radishpost.pgm;

import java.util.Arrays;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.platform.SettingsFile;
import org.radishpost.settings.EntrySettings;
import sun.misc.Signal;

/**
 * Reads the settings file again after SIGHUP and when its bytes have changed.
 *
 * <p>A file that can't be read changes nothing. Used by one thread.
 */
final class SettingsReload {
  private static final Logger LOG = LogManager.getLogger("radishpost");

  private final SettingsFile file;
  private final Consumer<EntrySettings> reloaded;
  private byte[] last;
  private volatile boolean asked;

  /**
   * Creates one and begins to listen for SIGHUP.
   *
   * @param file the settings file
   * @param last its bytes that are in force
   * @param reloaded takes new settings
   */
  SettingsReload(SettingsFile file, byte[] last, Consumer<EntrySettings> reloaded) {
    this.file = file;
    this.last = last.clone();
    this.reloaded = reloaded;
    Signal.handle(new Signal("HUP"), signal -> asked = true);
  }

  /** Looks at the file and takes over what has changed. */
  void look() {
    try {
      byte[] bytes = file.bytes();
      if (!asked && Arrays.equals(bytes, last)) {
        return;
      }
      asked = false;
      last = bytes;
      reloaded.accept(SettingsFile.decode(bytes));
    } catch (PlatformDocumentException e) {
      LOG.warn("The settings were not reloaded, those before stay in force: {}", e.getMessage());
    }
  }
}
