package org.radishpost.pgm;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Consumer;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.platform.SettingsFile;
import org.radishpost.settings.EntrySettings;
import sun.misc.Signal;

/**
 * Reloads the settings file after SIGHUP and when its contents have changed.
 *
 * <p>A file that cannot be read or decoded leaves the current settings unchanged. Not thread-safe.
 */
final class SettingsReloader {
  private final SettingsFile file;
  private final Consumer<EntrySettings> onReload;
  private final Consumer<PlatformDocumentException> onUnreadable;
  private byte[] lastBytes;
  private Optional<String> lastFault = Optional.empty();
  private volatile boolean reloadRequested;

  /**
   * Creates a reloader and installs its SIGHUP handler.
   *
   * @param file the settings file
   * @param currentBytes the contents of the file from which the current settings were read
   * @param onReload receives reloaded settings
   * @param onUnreadable receives the reason when the file cannot be read or decoded
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

  /** Reloads the settings if the file has changed or SIGHUP was received since the last call. */
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
