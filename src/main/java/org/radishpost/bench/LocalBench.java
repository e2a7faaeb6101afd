package org.radishpost.bench;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.radishpost.bench.LoadPlan.KindPlan;
import org.radishpost.bench.LoadPlan.NoisePlan;
import org.radishpost.config.ConfigChange;
import org.radishpost.config.Scope;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.StartException;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.node.RuntimeClock;
import org.radishpost.settings.NodeSettings;
import org.radishpost.settings.NodeSettings.Balancing;
import org.radishpost.settings.SettingsCodec;
import org.radishpost.standin.TargetServer;
import org.radishpost.standin.TargetStats;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Compares the balancing policies on a complete deployment in one process, over real sockets.
 *
 * <p>Run {@code LocalBench EXAMPLE SCENARIO PERCENTS BALANCINGS SECONDS REPEATS OUT VMS
 * SERVICE_MILLIS}, for example {@code examples/szaklap steady 50,80 OWNER,TWO_CHOICES 20 3
 * target/bench 6 200}. The scenarios are:
 *
 * <ul>
 *   <li>{@code steady}: no events.
 *   <li>{@code zone}: one zone is out of service during the middle third of the measurement.
 *   <li>{@code direct}: half of the calls go directly to targets and half through one VM. PERCENTS
 *       are calls per second in this scenario, and SERVICE_MILLIS is ignored.
 * </ul>
 */
public final class LocalBench {
  private static final double SERVICE_TIME_SIGMA = 0.8;
  private static final Duration DIRECT_SERVICE_TIME = Duration.ofMillis(5);
  private static final long FIRST_SEED = 20_261;
  private static final int PHASES = 3;
  private static final double NANOS_PER_SECOND = 1e9;

  private final RuntimeClock clock = new RuntimeClock();
  private final Scheduler sendScheduler = Schedulers.newSingle("senders", true);
  private final Path outputDirectory;
  private final Manifest manifest;
  private final List<NodeSettings> allVmSettings;
  private final Duration meanServiceTime;

  private LocalBench(Path example, Path outputDirectory, int vmCount, Duration meanServiceTime)
      throws IOException, RadishpostException {
    this.outputDirectory = Files.createDirectories(outputDirectory);
    this.manifest =
        new ManifestCodec().decode(Files.readAllBytes(example.resolve("manifest.json")));
    this.meanServiceTime = meanServiceTime;
    this.allVmSettings = new ArrayList<>();
    try (var files = Files.list(example.resolve("settings"))) {
      for (Path file : files.sorted().limit(vmCount).toList()) {
        allVmSettings.add(new SettingsCodec().decode(Files.readAllBytes(file)));
      }
    }
  }

  /** Runs the comparison described by the arguments. */
  public static void main(String[] args) throws IOException, RadishpostException {
    System.setProperty("radishpost.log", "text");
    LocalBench bench =
        new LocalBench(
            Path.of(args[0]),
            Path.of(args[6]),
            Integer.parseInt(args[7]),
            Duration.ofMillis(Long.parseLong(args[8])));
    int measuredSeconds = Integer.parseInt(args[4]);
    int repeats = Integer.parseInt(args[5]);
    for (String load : args[2].split(",")) {
      for (int repeat = 0; repeat < repeats; repeat++) {
        for (String balancing : args[3].split(",")) {
          bench.run(
              args[1],
              Integer.parseInt(load),
              Balancing.valueOf(balancing),
              measuredSeconds,
              FIRST_SEED + repeat);
        }
      }
    }
    System.exit(0);
  }

  private void run(String scenario, int load, Balancing balancing, int measuredSeconds, long seed)
      throws IOException, RadishpostException {
    boolean direct = scenario.equals("direct");
    Duration serviceTime = direct ? DIRECT_SERVICE_TIME : meanServiceTime;
    List<NodeSettings> vmSettings = direct ? allVmSettings.subList(0, 1) : allVmSettings;
    try (LocalDeployment deployment = new LocalDeployment(clock, new java.util.Random(seed))) {
      Manifest startedManifest =
          deployment.start(
              manifest, vmSettings, balancing, serviceTime, direct ? 0 : SERVICE_TIME_SIGMA);
      LoadPlan plan =
          direct
              ? createDirectPlan(startedManifest, deployment, load, measuredSeconds, seed)
              : new DeploymentLoad(startedManifest, deployment.entries(), serviceTime)
                  .createPlan(load, measuredSeconds, seed, List.of(), true);
      LoadDriver driver =
          new LoadDriver(plan, clock, sendScheduler, line -> System.err.println("  " + line));
      Disposable zoneEvents =
          scenario.equals("zone") ? startZoneEvents(deployment, driver, plan) : () -> {};
      final long cpuNanosBefore = cpuNanos();
      LoadResult result = driver.run().block();
      final double cores =
          (cpuNanos() - cpuNanosBefore) / NANOS_PER_SECOND / (plan.totalMillis() / 1000.0);
      zoneEvents.dispose();
      driver.close().block();
      writeReports(scenario + "-" + balancing + "-" + load + "-" + seed, result);
      printSummary(scenario, load, balancing, seed, result, cores);
      System.out.println("  targets: " + Totals.of(deployment.targets()));
    }
  }

  private static LoadPlan createDirectPlan(
      Manifest startedManifest,
      LocalDeployment deployment,
      int callsPerSecond,
      int measuredSeconds,
      long seed) {
    List<String> targetAddresses =
        startedManifest.services().getFirst().targets().stream()
            .filter(target -> target.place().equals(deployment.entries().getFirst().place()))
            .map(target -> target.address().toString())
            .toList();
    List<String> vmAddresses = List.of(deployment.entries().getFirst().address().toString());
    return new LoadPlan(
        seed,
        callsPerSecond,
        Duration.ofSeconds(5).toMillis(),
        Duration.ofSeconds(measuredSeconds).toMillis(),
        Duration.ofSeconds(5).toMillis(),
        1_000,
        LoadPlan.Spread.IN_TURN,
        vmAddresses,
        List.of(
            new KindPlan("direct", "GET", "/archives/1", 1, 1, 0, false, targetAddresses),
            new KindPlan("through one VM", "GET", "/archives/1", 1, 1, 0, false, vmAddresses)),
        List.of(),
        NoisePlan.NONE);
  }

  private Disposable startZoneEvents(LocalDeployment deployment, LoadDriver driver, LoadPlan plan) {
    String zone = allVmSettings.getFirst().place().zone().value();
    long phaseMillis = plan.durationMillis() / PHASES;
    return Mono.delay(Duration.ofMillis(plan.warmUpMillis() + phaseMillis), clock)
        .publishOn(Schedulers.boundedElastic())
        .doOnNext(tick -> setZoneOut(deployment, driver, zone, true))
        .delayElement(Duration.ofMillis(phaseMillis), clock)
        .publishOn(Schedulers.boundedElastic())
        .doOnNext(tick -> setZoneOut(deployment, driver, zone, false))
        .subscribe();
  }

  private static void setZoneOut(
      LocalDeployment deployment, LoadDriver driver, String zone, boolean out) {
    String label = zone + (out ? " out" : " in");
    Scope scope = new Scope(Scope.Kind.ZONE, zone);
    try {
      deployment.publish(label, new ConfigChange.SetService(scope, out, -1));
      driver.recordEvent(label, "accepted");
    } catch (StartException e) {
      driver.recordEvent(label, e.getMessage());
    }
  }

  private void writeReports(String name, LoadResult result) throws IOException {
    Files.write(outputDirectory.resolve(name + ".json"), BenchReport.toJson(result));
    Files.writeString(outputDirectory.resolve(name + ".svg"), BenchPlot.toSvg(result, name));
    Files.writeString(outputDirectory.resolve(name + ".txt"), BenchReport.formatTable(result));
  }

  private static void printSummary(
      String scenario, int load, Balancing balancing, long seed, LoadResult result, double cores) {
    System.out.printf(
        Locale.ROOT,
        "%s %d %s seed %d: p50 %.1f p99 %.1f p99.9 %.1f ms, delivered %.2f %% of weight,"
            + " late p99 %.2f ms, %.1f cores, machine load %.1f; %s%n",
        scenario,
        load,
        balancing,
        seed,
        result.latency().p50Millis(),
        result.latency().p99Millis(),
        result.latency().p999Millis(),
        100.0 * result.deliveredWeight() / result.offeredWeight(),
        result.lateness().p99Millis(),
        cores,
        ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
        result.outcomes());
    result.kinds().stream()
        .filter(kind -> scenario.equals("direct"))
        .forEach(kind -> System.out.println("  " + kind));
  }

  private static long cpuNanos() {
    return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getProcessCpuTime();
  }

  private record Totals(long runs, long sheds, long crashes, long probes, long refused, int most) {
    static Totals of(TargetServer targets) {
      List<TargetStats> all = targets.addresses().stream().map(targets::stats).toList();
      return new Totals(
          all.stream().mapToLong(TargetStats::runs).sum(),
          all.stream().mapToLong(TargetStats::sheds).sum(),
          all.stream().mapToLong(TargetStats::crashes).sum(),
          all.stream().mapToLong(TargetStats::probes).sum(),
          all.stream().mapToLong(TargetStats::refusedConnections).sum(),
          all.stream().mapToInt(TargetStats::maxConnections).max().orElse(0));
    }
  }
}
