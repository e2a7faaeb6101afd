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

/** Settings are read again after SIGHUP and when the file has changed. */
public class SettingsReloadTest {
  private static final String TEXT =
      """
      {"node-name":"%s","zone":"k-a","region":"k","zones":{"k-a":"k"},
      "listen":{"front":"10.0.0.1:81","readiness":"10.0.0.1:80"}}
      """;

  private final List<EntrySettings> reloaded = new ArrayList<>();
  private final List<PlatformDocumentException> unreadable = new ArrayList<>();
  private Path path;
  private SettingsReload reload;

  /** Writes a settings file. */
  @BeforeMethod
  public void start() throws IOException {
    reloaded.clear();
    unreadable.clear();
    path = Files.createTempFile("settings", ".json");
    write("first");
    SettingsFile file = new SettingsFile(path);
    reload = new SettingsReload(file, Files.readAllBytes(path), reloaded::add, unreadable::add);
  }

  /** Removes the file. */
  @AfterMethod
  public void stop() throws IOException {
    Files.deleteIfExists(path);
  }

  private void write(String name) throws IOException {
    Files.writeString(path, TEXT.formatted(name));
  }

  @Test
  public void changedFileIsTakenOverWithoutSignal() throws IOException {
    reload.look();
    assertEquals(reloaded.size(), 0);
    write("second");
    reload.look();
    reload.look();
    assertEquals(reloaded.size(), 1);
    assertEquals(reloaded.getFirst().vm().value(), "second");
  }

  @Test
  public void signalReadsTheSameFileAgainAndDoesNotEndTheProcess() {
    Signal.raise(new Signal("HUP"));
    while (reloaded.isEmpty()) {
      reload.look();
    }
    assertEquals(reloaded.size(), 1);
  }

  @Test
  public void unreadableFileChangesNothing() throws IOException {
    Files.writeString(path, "{");
    reload.look();
    reload.look();
    assertEquals(unreadable.size(), 1);
    Files.delete(path);
    reload.look();
    reload.look();
    assertEquals(unreadable.size(), 2);
    assertEquals(reloaded.size(), 0);
    write("third");
    reload.look();
    assertEquals(reloaded.size(), 1);
  }
}
