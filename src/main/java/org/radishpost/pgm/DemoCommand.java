package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.security.SecureRandom;
import java.time.Duration;
import org.radishpost.errors.RadishpostException;
import org.radishpost.node.RuntimeClock;
import org.radishpost.settings.NodeSettings.LogFormat;

/** Runs a complete demo system in one process on loopback. */
@Command(
    name = "demo",
    description =
        "Run a log, a VM list, three entry VMs in two zones and a few targets in this process, with"
            + " one manifest published, until Ctrl-C.")
public final class DemoCommand extends CliCommand {
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(30);

  @Option(
      name = {"--port"},
      description = "Port of the first entry VM; the others use the two next ones. 0 takes any.")
  private int port = 8080;

  /** Creates the command; called by the command-line parser. */
  public DemoCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    LogConfig.setFormat(LogFormat.TEXT);
    final StopSignal stopSignal = StopSignal.listen();
    DemoSystem demo = new DemoSystem(new RuntimeClock(), new SecureRandom());
    demo.start(port);
    System.out.println();
    System.out.println("The demo runs. Try:");
    System.out.println();
    for (String line : demo.exampleCommands()) {
      System.out.println("  " + line);
    }
    System.out.println();
    System.out.println("Ctrl-C stops it.");
    stopSignal.awaitAndStop(demo.stop(), STOP_TIMEOUT);
    return ExitCode.OK;
  }
}
