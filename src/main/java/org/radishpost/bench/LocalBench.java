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
 * Compares the ways to balance on a whole deployment in one process, over real sockets.
 *
 * <p>Run {@code LocalBench EXAMPLE SCENARIO PERCENTS BALANCINGS SECONDS REPEATS OUT VMS
 * SERVICE_MILLIS}, for instance {@code examples/szaklap steady 50,80 OWNER,TWO_CHOICES 20 3
 * target/bench 6 200}. The scenarios are {@code steady}, {@code zone} (one zone leaves for the
 * middle third) and {@code direct} (targets called directly and through one VM, in one load; here
 * the percents are calls a second).
 */
public final class LocalBench {
  private static final double SIGMA = 0.8;
  private static final Duration SHORT_SERVICE = Duration.ofMillis(5);
  private static final long SEED = 20_261;
  private static final int PARTS = 3;
  private static final double NANOS_PER_SECOND = 1e9;

  private final RuntimeClock clock = new RuntimeClock();
  private final Scheduler senders = Schedulers.newSingle("senders", true);
  private final Path out;
  private final Manifest manifest;
  private final List<NodeSettings> settings;
  private final Duration meanService;

  private LocalBench(Path example, Path out, int vms, Duration meanService)
      throws IOException, RadishpostException {
    this.out = Files.createDirectories(out);
    this.manifest =
        new ManifestCodec().decode(Files.readAllBytes(example.resolve("manifest.json")));
    this.meanService = meanService;
    this.settings = new ArrayList<>();
    try (var files = Files.list(example.resolve("settings"))) {
      for (Path file : files.sorted().limit(vms).toList()) {
        settings.add(new SettingsCodec().decode(Files.readAllBytes(file)));
      }
    }
  }

  /** Runs the comparison that the arguments ask for. */
  public static void main(String[] args) throws IOException, RadishpostException {
    System.setProperty("radishpost.log", "text");
    LocalBench bench =
        new LocalBench(
            Path.of(args[0]),
            Path.of(args[6]),
            Integer.parseInt(args[7]),
            Duration.ofMillis(Long.parseLong(args[8])));
    int seconds = Integer.parseInt(args[4]);
    int repeats = Integer.parseInt(args[5]);
    for (String percent : args[2].split(",")) {
      for (int repeat = 0; repeat < repeats; repeat++) {
        for (String balancing : args[3].split(",")) {
          bench.run(
              args[1],
              Integer.parseInt(percent),
              Balancing.valueOf(balancing),
              seconds,
              SEED + repeat);
        }
      }
    }
    System.exit(0);
  }

  private void run(String scenario, int percent, Balancing balancing, int seconds, long seed)
      throws IOException, RadishpostException {
    boolean direct = scenario.equals("direct");
    Duration service = direct ? SHORT_SERVICE : meanService;
    List<NodeSettings> vms = direct ? settings.subList(0, 1) : settings;
    try (LocalSystem system = new LocalSystem(clock, new java.util.Random(seed))) {
      Manifest used = system.start(manifest, vms, balancing, service, direct ? 0 : SIGMA);
      LoadPlan plan =
          direct
              ? directPlan(used, system, percent, seconds, seed)
              : new DeploymentLoad(used, system.entries(), service)
                  .plan(percent, seconds, seed, List.of(), true);
      LoadDriver driver =
          new LoadDriver(plan, clock, senders, line -> System.err.println("  " + line));
      Disposable events = scenario.equals("zone") ? zoneEvents(system, driver, plan) : () -> {};
      final long cpuBefore = cpuNanos();
      LoadResult result = driver.run().block();
      final double cores =
          (cpuNanos() - cpuBefore) / NANOS_PER_SECOND / (plan.totalMillis() / 1000.0);
      events.dispose();
      driver.close().block();
      write(scenario + "-" + balancing + "-" + percent + "-" + seed, result);
      print(scenario, percent, balancing, seed, result, cores);
      System.out.println("  targets: " + Totals.of(system.targets()));
    }
  }

  private static LoadPlan directPlan(
      Manifest used, LocalSystem system, int callsPerSecond, int seconds, long seed) {
    List<String> targets =
        used.services().getFirst().targets().stream()
            .filter(target -> target.place().equals(system.entries().getFirst().place()))
            .map(target -> target.address().toString())
            .toList();
    List<String> vm = List.of(system.entries().getFirst().address().toString());
    return new LoadPlan(
        seed,
        callsPerSecond,
        Duration.ofSeconds(5).toMillis(),
        Duration.ofSeconds(seconds).toMillis(),
        Duration.ofSeconds(5).toMillis(),
        1_000,
        LoadPlan.Spread.IN_TURN,
        vm,
        List.of(
            new KindPlan("direct", "GET", "/archives/1", 1, 1, 0, false, targets),
            new KindPlan("through one VM", "GET", "/archives/1", 1, 1, 0, false, vm)),
        List.of(),
        NoisePlan.NONE);
  }

  private Disposable zoneEvents(LocalSystem system, LoadDriver driver, LoadPlan plan) {
    String zone = settings.getFirst().place().zone().value();
    long third = plan.durationMillis() / PARTS;
    return Mono.delay(Duration.ofMillis(plan.warmUpMillis() + third), clock)
        .publishOn(Schedulers.boundedElastic())
        .doOnNext(tick -> change(system, driver, zone, true))
        .delayElement(Duration.ofMillis(third), clock)
        .publishOn(Schedulers.boundedElastic())
        .doOnNext(tick -> change(system, driver, zone, false))
        .subscribe();
  }

  private static void change(LocalSystem system, LoadDriver driver, String zone, boolean out) {
    String label = zone + (out ? " out" : " in");
    Scope scope = new Scope(Scope.Kind.ZONE, zone);
    try {
      system.change(label, new ConfigChange.SetService(scope, out, -1));
      driver.note(label, "accepted");
    } catch (StartException e) {
      driver.note(label, e.getMessage());
    }
  }

  private void write(String name, LoadResult result) throws IOException {
    Files.write(out.resolve(name + ".json"), BenchReport.json(result));
    Files.writeString(out.resolve(name + ".svg"), BenchPlot.svg(result, name));
    Files.writeString(out.resolve(name + ".txt"), BenchReport.text(result));
  }

  private static void print(
      String scenario,
      int percent,
      Balancing balancing,
      long seed,
      LoadResult result,
      double cores) {
    System.out.printf(
        Locale.ROOT,
        "%s %d %s seed %d: p50 %.1f p99 %.1f p99.9 %.1f ms, delivered %.2f %% of weight,"
            + " late p99 %.2f ms, %.1f cores, machine load %.1f; %s%n",
        scenario,
        percent,
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
