package org.radishpost.pgm;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
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
  private final SettingsFile file;
  private final Consumer<EntrySettings> reloaded;
  private final Consumer<PlatformDocumentException> unreadable;
  private byte[] last;
  private Optional<String> fault = Optional.empty();
  private volatile boolean asked;

  /**
   * Creates one and begins to listen for SIGHUP.
   *
   * @param file the settings file
   * @param last its bytes that are in force
   * @param reloaded takes new settings
   * @param unreadable takes the reason when the file can't be read
   */
  SettingsReload(
      SettingsFile file,
      byte[] last,
      Consumer<EntrySettings> reloaded,
      Consumer<PlatformDocumentException> unreadable) {
    this.file = file;
    this.last = last.clone();
    this.reloaded = reloaded;
    this.unreadable = unreadable;
    Signal.handle(new Signal("HUP"), signal -> asked = true);
  }

  /** Looks at the file and takes over what has changed. */
  void look() {
    try {
      byte[] bytes = file.read();
      if (!asked && Arrays.equals(bytes, last)) {
        return;
      }
      asked = false;
      last = bytes;
      reloaded.accept(SettingsFile.decode(bytes));
      fault = Optional.empty();
    } catch (PlatformDocumentException e) {
      tellOnce(e);
    }
  }

  private void tellOnce(PlatformDocumentException why) {
    Optional<String> newest = Optional.of(String.valueOf(why.getMessage()));
    if (!newest.equals(fault)) {
      unreadable.accept(why);
    }
    fault = newest;
  }
}
