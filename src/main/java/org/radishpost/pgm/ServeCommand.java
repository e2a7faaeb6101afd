package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import org.radishpost.errors.RadishpostException;
import org.radishpost.node.Node;
import org.radishpost.node.NodeSecrets;
import org.radishpost.node.RuntimeClock;
import org.radishpost.settings.NodeSettings;
import org.radishpost.settings.SettingsCodec;

/** Runs a VM process. */
@Command(name = "serve", description = "Run one VM process until SIGTERM or Ctrl-C.")
public final class ServeCommand extends CliCommand {
  private static final Duration STOP_MARGIN = Duration.ofSeconds(5);

  @Option(
      name = {"--settings"},
      description = "The settings file (JSON).")
  @Required
  private String settingsFile;

  /** Creates the command; called by the command-line parser. */
  public ServeCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    NodeSettings settings = new SettingsCodec().decode(InputFiles.read(Path.of(settingsFile)));
    LogConfig.setFormat(settings.logFormat());
    StopSignal stopSignal = StopSignal.listen();
    Node node =
        new Node(
            settings,
            NodeSecrets.fromEnvironment(settings, System.getenv()),
            new RuntimeClock(),
            new SecureRandom());
    node.start();
    Duration stopTimeout =
        settings
            .shutdown()
            .balancerWait()
            .plus(settings.shutdown().drainLimit().multipliedBy(2))
            .plus(STOP_MARGIN);
    stopSignal.awaitAndStop(node.stop(), stopTimeout);
    return ExitCode.OK;
  }
}
