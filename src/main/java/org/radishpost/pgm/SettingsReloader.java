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
final class SettingsReloader {
  private final SettingsFile file;
  private final Consumer<EntrySettings> onReload;
  private final Consumer<PlatformDocumentException> onUnreadable;
  private byte[] lastBytes;
  private Optional<String> lastFault = Optional.empty();
  private volatile boolean reloadRequested;

  /**
   * Creates one and begins to listen for SIGHUP.
   *
   * @param file the settings file
   * @param currentBytes its bytes that are in force
   * @param onReload takes new settings
   * @param onUnreadable takes the reason when the file can't be read
   */
  SettingsReloader(
      SettingsFile file,
      byte[] currentBytes,
      Consumer<EntrySettings> onReload,
      Consumer<PlatformDocumentException> onUnreadable) {
    this.file = file;
    this.lastBytes = currentBytes.clone();
    this.onReload = onReload;
    this.onUnreadable = onUnreadable;
    Signal.handle(new Signal("HUP"), signal -> reloadRequested = true);
  }

  /** Looks at the file and takes over what has changed. */
  void reloadIfNeeded() {
    try {
      byte[] bytes = file.read();
      if (!reloadRequested && Arrays.equals(bytes, lastBytes)) {
        return;
      }
      reloadRequested = false;
      lastBytes = bytes;
      onReload.accept(SettingsFile.decode(bytes));
      lastFault = Optional.empty();
    } catch (PlatformDocumentException e) {
      reportOnce(e);
    }
  }

  private void reportOnce(PlatformDocumentException exception) {
    Optional<String> newFault = Optional.of(String.valueOf(exception.getMessage()));
    if (!newFault.equals(lastFault)) {
      onUnreadable.accept(exception);
    }
    lastFault = newFault;
  }
}
