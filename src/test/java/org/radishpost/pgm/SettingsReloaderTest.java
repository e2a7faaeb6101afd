package org.radishpost.pgm;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.platform.SettingsFile;
import org.radishpost.settings.EntrySettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import sun.misc.Signal;

/** Settings are reloaded after SIGHUP and when the file has changed. */
public class SettingsReloaderTest {
  private static final String SETTINGS =
      """
      {"node-name":"%s","zone":"k-a","region":"k","zones":{"k-a":"k"},
      "listen":{"front":"10.0.0.1:81","readiness":"10.0.0.1:80"}}
      """;

  private final List<EntrySettings> reloaded = new ArrayList<>();
  private final List<PlatformDocumentException> unreadable = new ArrayList<>();
  private Path path;
  private SettingsReloader reloader;

  /** Writes a settings file and creates its reloader. */
  @BeforeMethod
  public void setUp() throws IOException {
    reloaded.clear();
    unreadable.clear();
    path = Files.createTempFile("settings", ".json");
    writeSettings("first");
    SettingsFile file = new SettingsFile(path);
    reloader = new SettingsReloader(file, Files.readAllBytes(path), reloaded::add, unreadable::add);
  }

  /** Deletes the settings file. */
  @AfterMethod
  public void tearDown() throws IOException {
    Files.deleteIfExists(path);
  }

  private void writeSettings(String name) throws IOException {
    Files.writeString(path, SETTINGS.formatted(name));
  }

  @Test
  public void changedFileIsReloadedWithoutSignal() throws IOException {
    reloader.reloadIfNeeded();
    assertEquals(reloaded.size(), 0);
    writeSettings("second");
    reloader.reloadIfNeeded();
    reloader.reloadIfNeeded();
    assertEquals(reloaded.size(), 1);
    assertEquals(reloaded.getFirst().vm().value(), "second");
  }

  @Test
  public void signalReloadsUnchangedFileAndDoesNotEndTheProcess() {
    Signal.raise(new Signal("HUP"));
    while (reloaded.isEmpty()) {
      reloader.reloadIfNeeded();
    }
    assertEquals(reloaded.size(), 1);
  }

  @Test
  public void unreadableFileIsReportedOnceAndChangesNothing() throws IOException {
    Files.writeString(path, "{");
    reloader.reloadIfNeeded();
    reloader.reloadIfNeeded();
    assertEquals(unreadable.size(), 1);
    Files.delete(path);
    reloader.reloadIfNeeded();
    reloader.reloadIfNeeded();
    assertEquals(unreadable.size(), 2);
    assertEquals(reloaded.size(), 0);
    writeSettings("third");
    reloader.reloadIfNeeded();
    assertEquals(reloaded.size(), 1);
  }
}
