package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.time.Duration;
import org.radishpost.errors.RadishpostException;
import org.radishpost.lib.Endpoint;
import org.radishpost.node.RuntimeClock;
import org.radishpost.standin.LogServer;
import org.radishpost.standin.MemoryLog;
import org.radishpost.standin.MemoryVmList;
import reactor.core.publisher.Mono;

/** Runs a stand-in for the platform's log and list of VMs. */
@Command(
    name = "log",
    description = "Run a stand-in of the platform's log and list of VMs, in memory, until Ctrl-C.")
public final class StandinLogCommand extends CliCommand {
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);

  @Option(
      name = {"--listen"},
      title = "IP:PORT",
      description = "Where it listens; port 0 takes any.")
  private String listen = "127.0.0.1:8070";

  @Option(
      name = {"--retention-seconds"},
      title = "N",
      description = "How long it keeps records.")
  private long retentionSeconds = Duration.ofDays(1).toSeconds();

  /** Creates the command; called by the command-line parser. */
  public StandinLogCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    StopSignal stopSignal = StopSignal.listen();
    RuntimeClock clock = new RuntimeClock();
    MemoryLog log = new MemoryLog(clock, Duration.ofSeconds(retentionSeconds));
    LogServer server =
        new LogServer(AdminCommand.parseAddress(listen), log, new MemoryVmList(clock));
    Endpoint address = server.start();
    System.out.println("log and VM list on " + address);
    stopSignal.awaitAndStop(Mono.fromRunnable(server::stop), STOP_TIMEOUT);
    return ExitCode.OK;
  }
}
