package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.lib.Endpoint;
import org.radishpost.node.EntryNode;
import org.radishpost.node.RuntimeClock;
import org.radishpost.platform.SettingsFile;
import org.radishpost.settings.EntrySettings;

/** Runs an entry process with the settings that the platform provides. */
@Command(
    name = EntryCommand.NAME,
    description = "Run one VM process on the users' platform, with the settings that it lays down.")
public final class EntryCommand extends CliCommand {
  static final String NAME = "entry";

  private static final Duration SETTINGS_POLL_INTERVAL = Duration.ofSeconds(1);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);

  @Option(
      name = {"--metrics-port"},
      description = "The port at which metrics are served, on the address of the front.")
  private int metricsPort = 9464;

  /** Creates the command; called by the command-line parser. */
  public EntryCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    NonBlockingOutputStream.installOnStandardOutput();
    SettingsFile file = SettingsFile.fromEnvironment(System.getenv());
    byte[] settingsBytes = file.read();
    EntrySettings settings = SettingsFile.decode(settingsBytes);
    Endpoint store =
        settings
            .store()
            .orElseThrow(
                () ->
                    new PlatformDocumentException(
                        "The settings contain no store: add a provider."));
    StopSignal stopSignal = StopSignal.listen();
    EntryNode node =
        new EntryNode(
            settings, new Endpoint(settings.edge().ip(), metricsPort), store, new RuntimeClock());
    node.start();
    SettingsReloader reloader =
        new SettingsReloader(file, settingsBytes, node::reload, node::reportUnreadableSettings);
    while (!stopSignal.await(SETTINGS_POLL_INTERVAL)) {
      reloader.reloadIfNeeded();
    }
    stopSignal.awaitAndStop(node.stop(), STOP_TIMEOUT);
    return ExitCode.OK;
  }
}
