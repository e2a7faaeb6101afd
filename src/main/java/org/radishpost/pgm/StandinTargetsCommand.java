package org.radishpost.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.time.Duration;
import org.radishpost.errors.RadishpostException;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;
import org.radishpost.node.RuntimeClock;
import org.radishpost.standin.TargetOptions;
import org.radishpost.standin.TargetServer;
import reactor.core.publisher.Mono;

/** Runs stand-ins for the targets of a manifest. */
@Command(
    name = "targets",
    description = "Run a stand-in for each target of a manifest, in one process, until Ctrl-C.")
public final class StandinTargetsCommand extends CliCommand {
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(10);

  @Option(
      name = {"--manifest"},
      title = "FILE",
      description = "The manifest whose targets are wanted; slots and connections come from it.")
  @Required
  private String manifest;

  @Option(
      name = {"--mean-millis"},
      title = "N",
      description = "The mean of the service time.")
  private long meanMillis = 5;

  @Option(
      name = {"--cold"},
      description = "Start the targets cold.")
  private boolean cold;

  @Option(
      name = {"--seed"},
      title = "N",
      description = "The seed of the service times.")
  private long seed = 1;

  /** Creates the command; called by the command-line parser. */
  public StandinTargetsCommand() {}

  @Override
  protected ExitCode run() throws RadishpostException {
    StopSignal stopSignal = StopSignal.listen();
    Manifest decodedManifest = new ManifestCodec().decode(InputFiles.read(Path.of(manifest)));
    TargetServer targets = new TargetServer(new RuntimeClock());
    int count = startTargets(decodedManifest, targets);
    System.out.println(count + " targets run");
    stopSignal.awaitAndStop(Mono.fromRunnable(targets::stop), STOP_TIMEOUT);
    return ExitCode.OK;
  }

  private int startTargets(Manifest decodedManifest, TargetServer targets)
      throws RadishpostException {
    int count = 0;
    for (ServiceSpec service : decodedManifest.services()) {
      for (TargetSpec target : service.targets()) {
        targets.add(target.address(), options(target, seed + count));
        count++;
      }
    }
    return count;
  }

  private TargetOptions options(TargetSpec target, long targetSeed) {
    TargetOptions warm =
        TargetOptions.warm(
            target.slots(), target.connections(), Duration.ofMillis(meanMillis), targetSeed);
    return cold ? warm.cold() : warm;
  }
}
