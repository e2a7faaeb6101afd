package org.radishpost.bench;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.HdrHistogram.Histogram;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.TenantName;
import org.radishpost.lib.VmId;
import org.radishpost.manifest.ColdStartSpec;
import org.radishpost.manifest.ProbeSpec;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;
import org.radishpost.pool.LoadReport;
import org.radishpost.pool.Pool;
import org.radishpost.pool.PoolAction;
import org.radishpost.pool.PoolFactory;
import org.radishpost.pool.TargetOutcome;
import org.radishpost.suspects.SuspectRegistry;

/**
 * A queueing simulation in virtual time that uses the production pools. The targets are in one zone
 * and slow down at random times.
 *
 * <p>{@link #run} runs all settings and prints a table; {@link #runSetting} runs one setting. The
 * same seed yields the same results. Not thread-safe.
 */
public final class PoolModel {
  private static final int TARGETS = 12;
  private static final int SLOTS = 2;
  private static final int CONNECTIONS = 240;
  private static final int ENTRY_VMS = 16;
  private static final int TENANTS = 4;
  private static final int MAX_QUEUED_AT_TARGET = 32;
  private static final int[] MEAN_SERVICE_MILLIS = {3, 10};
  private static final int[] LOADS_PERCENT = {50, 80, 95, 120, 200};
  private static final double SLOW_FACTOR = 4;
  private static final double SLOW_TIME_SHARE = 0.08;
  private static final double SIGMA = 0.8;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  private static final long ONE_WAY_NANOS = NANOS_PER_MILLI / 2;
  private static final long MEAN_SLOW_PERIOD_NANOS = 500 * NANOS_PER_MILLI;
  private static final long TICK_INTERVAL_NANOS = 5 * NANOS_PER_MILLI;
  private static final long WARM_UP_NANOS = 3 * NANOS_PER_SECOND;
  private static final long MEASURED_NANOS = 20 * NANOS_PER_SECOND;
  private static final long DEADLINE_NANOS = 250 * NANOS_PER_MILLI;
  private static final int[] CALL_WEIGHTS = {1, 1, 1, 1, 1, 1, 1, 3, 3, 10};
  private static final ServiceName SERVICE = new ServiceName("model");
  private static final GatewayName GATEWAY = new GatewayName("model");
  private static final Place PLACE = Place.of("region", "zone");

  private final SplittableRandom arrivalRandom;
  private final SplittableRandom slowdownRandom;
  private final SplittableRandom serviceTimeRandom;
  private final SplittableRandom poolRandom;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Pool> pools = new ArrayList<>();
  private final Map<Endpoint, Target> targets = new HashMap<>();
  private final Map<CallId, OfferedCall> callsById = new HashMap<>();
  private final Histogram latency = new Histogram(3);
  private final PoolVariant variant;
  private final long meanServiceNanos;
  private final double meanArrivalGapNanos;
  private long nowNanos;
  private long nextSequence;
  private long nextCallId;
  private long offeredWeight;
  private long deliveredWeight;

  private PoolModel(PoolVariant variant, int meanServiceMillis, int loadPercent, long seed) {
    this.variant = variant;
    this.meanServiceNanos = meanServiceMillis * NANOS_PER_MILLI;
    SplittableRandom random = new SplittableRandom(seed);
    this.arrivalRandom = random.split();
    this.slowdownRandom = random.split();
    this.serviceTimeRandom = random.split();
    this.poolRandom = random.split();
    double meanSpeed = 1 - SLOW_TIME_SHARE + SLOW_TIME_SHARE / SLOW_FACTOR;
    this.meanArrivalGapNanos =
        meanServiceNanos / (TARGETS * SLOTS * meanSpeed * loadPercent / 100.0);
  }

  /**
   * Runs all combinations of variant, mean service time and load. Prints a table with the median
   * results of each combination.
   *
   * @param firstSeed the seed of the first run of each combination; each further run uses the next
   *     seed
   * @param runsPerSetting the number of runs of each combination
   * @param out receives the table, one row after each combination
   * @return the rows of the table
   */
  public static List<PoolModelResult> run(long firstSeed, int runsPerSetting, PrintStream out) {
    out.println("| variant | mean ms | load % | p50 ms | p99 ms | p99.9 ms | weight % |");
    out.println("|---|---|---|---|---|---|---|");
    List<PoolModelResult> medians = new ArrayList<>();
    for (int meanServiceMillis : MEAN_SERVICE_MILLIS) {
      for (int loadPercent : LOADS_PERCENT) {
        for (PoolVariant variant : PoolVariant.values()) {
          List<PoolModelResult> runResults =
              LongStream.range(firstSeed, firstSeed + runsPerSetting)
                  .mapToObj(runSeed -> runSetting(variant, meanServiceMillis, loadPercent, runSeed))
                  .toList();
          PoolModelResult median = PoolModelResult.median(runResults);
          out.println(median);
          medians.add(median);
        }
      }
    }
    return medians;
  }

  /** Runs one variant once at the given mean service time and load. */
  public static PoolModelResult runSetting(
      PoolVariant variant, int meanServiceMillis, int loadPercent, long seed) {
    PoolModel model = new PoolModel(variant, meanServiceMillis, loadPercent, seed);
    model.simulate();
    return new PoolModelResult(
        variant,
        meanServiceMillis,
        loadPercent,
        model.latency.getValueAtPercentile(50) / (double) NANOS_PER_MILLI,
        model.latency.getValueAtPercentile(99) / (double) NANOS_PER_MILLI,
        model.latency.getValueAtPercentile(99.9) / (double) NANOS_PER_MILLI,
        100.0 * model.deliveredWeight / model.offeredWeight);
  }

  private void simulate() {
    ServiceSpec service = createService();
    service.targets().forEach(target -> targets.put(target.address(), new Target()));
    targets.values().forEach(this::switchSpeed);
    int poolCount = variant.hasOwner() ? 1 : ENTRY_VMS;
    for (int i = 0; i < poolCount; i++) {
      PoolId id = new PoolId(GATEWAY, SERVICE, PLACE, 0);
      SuspectRegistry suspects =
          new SuspectRegistry(new VmId("vm-" + i), (regions, fingerprint, points) -> {});
      Pool pool =
          PoolFactory.create(
              variant.policy(), id, variant.limits(), poolRandom.split(), suspects, () -> 1);
      pool.configure(service, service.targets(), 0, action -> perform(pool, action));
      pools.add(pool);
    }
    schedule(0, this::handleArrival);
    schedule(0, this::tick);
    while (nowNanos < WARM_UP_NANOS + MEASURED_NANOS) {
      Event event = events.remove();
      nowNanos = event.timeNanos;
      event.action.run();
    }
  }

  private static ServiceSpec createService() {
    List<TargetSpec> specs = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      specs.add(new TargetSpec(new Endpoint("127.0.0.1", 1 + i), PLACE, SLOTS, CONNECTIONS));
    }
    ColdStartSpec coldStart = new ColdStartSpec(2, 20, Duration.ofSeconds(5));
    ProbeSpec probe = new ProbeSpec("/load", Duration.ofMillis(6), Duration.ofSeconds(1));
    return new ServiceSpec(SERVICE, specs, coldStart, probe, 30);
  }

  private void handleArrival() {
    schedule(
        (long) (-Math.log(1 - arrivalRandom.nextDouble()) * meanArrivalGapNanos),
        this::handleArrival);
    int weight = CALL_WEIGHTS[arrivalRandom.nextInt(CALL_WEIGHTS.length)];
    CallInfo call = createCall(weight);
    int entryIndex = arrivalRandom.nextInt(ENTRY_VMS);
    Pool pool = pools.get(variant.hasOwner() ? 0 : entryIndex);
    long hopNanos = variant.hasOwner() && entryIndex > 0 ? ONE_WAY_NANOS : 0;
    boolean measured =
        nowNanos >= WARM_UP_NANOS && nowNanos < WARM_UP_NANOS + MEASURED_NANOS - NANOS_PER_SECOND;
    callsById.put(call.id(), new OfferedCall(call, pool, nowNanos, hopNanos, measured));
    offeredWeight += measured ? weight : 0;
    schedule(hopNanos, () -> pool.offer(call, nowNanos, action -> perform(pool, action)));
  }

  private CallInfo createCall(int weight) {
    return new CallInfo(
        new CallId(nextCallId++),
        GATEWAY,
        "route",
        SERVICE,
        new TenantName("tenant-" + arrivalRandom.nextInt(TENANTS)),
        RequestKind.READ,
        weight,
        true,
        nowNanos + DEADLINE_NANOS,
        0,
        Set.of(),
        Optional.empty(),
        0);
  }

  private void perform(Pool pool, PoolAction action) {
    switch (action) {
      case PoolAction.Send send -> {
        OfferedCall call = callsById.get(send.call().id());
        Target target = targets.get(send.target());
        schedule(ONE_WAY_NANOS, () -> arriveAtTarget(call, target, nowNanos - ONE_WAY_NANOS));
      }
      case PoolAction.HandBack handBack -> callsById.remove(handBack.call());
      case PoolAction.Probe probe -> {
        Optional<LoadReport> report = Optional.of(targets.get(probe.target()).createReport());
        schedule(
            2 * ONE_WAY_NANOS,
            () ->
                pool.probeCompleted(probe.target(), report, nowNanos, next -> perform(pool, next)));
      }
      case PoolAction.OpenIdleConnections unused -> {}
      case PoolAction.CloseIdleConnections unused -> {}
      case PoolAction.RecordStateChange unused -> {}
    }
  }

  private void arriveAtTarget(OfferedCall call, Target target, long sentNanos) {
    Attempt attempt = new Attempt(call, sentNanos);
    if (target.running < SLOTS) {
      startAttempt(attempt, target);
    } else if (target.queue.size() < MAX_QUEUED_AT_TARGET) {
      target.queue.add(attempt);
    } else {
      reportEnd(attempt, new TargetOutcome.Shed(Optional.of(target.createReport())));
    }
  }

  private void startAttempt(Attempt attempt, Target target) {
    target.running++;
    double lognormalFactor = Math.exp(SIGMA * serviceTimeRandom.nextGaussian() - SIGMA * SIGMA / 2);
    long serviceNanos =
        (long) (meanServiceNanos * lognormalFactor * (target.slow ? SLOW_FACTOR : 1));
    schedule(serviceNanos, () -> finishAttempt(attempt, target));
  }

  private void finishAttempt(Attempt attempt, Target target) {
    target.running--;
    while (target.running < SLOTS && !target.queue.isEmpty()) {
      Attempt next = target.queue.remove();
      if (next.call.callInfo.deadlineNanos() > nowNanos) {
        startAttempt(next, target);
      } else {
        reportEnd(next, new TargetOutcome.Shed(Optional.of(target.createReport())));
      }
    }
    long attemptNanos = nowNanos + ONE_WAY_NANOS - attempt.sentNanos;
    reportEnd(
        attempt,
        new TargetOutcome.Responded(200, Optional.of(target.createReport()), attemptNanos));
  }

  private void reportEnd(Attempt attempt, TargetOutcome outcome) {
    OfferedCall call = attempt.call;
    schedule(
        ONE_WAY_NANOS,
        () ->
            call.pool.callEnded(
                call.callInfo.id(), outcome, nowNanos, action -> perform(call.pool, action)));
    callsById.remove(call.callInfo.id());
    long latencyNanos = nowNanos + ONE_WAY_NANOS + call.hopNanos - call.startNanos;
    boolean inTime = outcome instanceof TargetOutcome.Responded && latencyNanos <= DEADLINE_NANOS;
    if (call.measured && inTime) {
      latency.recordValue(latencyNanos);
      deliveredWeight += call.callInfo.weight();
    }
  }

  private void tick() {
    pools.forEach(pool -> pool.tick(nowNanos, action -> perform(pool, action)));
    schedule(TICK_INTERVAL_NANOS, this::tick);
  }

  private void switchSpeed(Target target) {
    target.slow = nowNanos > 0 && !target.slow;
    double meanPeriodNanos =
        target.slow
            ? MEAN_SLOW_PERIOD_NANOS
            : MEAN_SLOW_PERIOD_NANOS * (1 - SLOW_TIME_SHARE) / SLOW_TIME_SHARE;
    schedule(
        1 + (long) (-Math.log(1 - slowdownRandom.nextDouble()) * meanPeriodNanos),
        () -> switchSpeed(target));
  }

  private void schedule(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, nextSequence++, action));
  }

  private record Event(long timeNanos, long sequence, Runnable action)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(timeNanos, other.timeNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private record OfferedCall(
      CallInfo callInfo, Pool pool, long startNanos, long hopNanos, boolean measured) {}

  private record Attempt(OfferedCall call, long sentNanos) {}

  private static final class Target {
    private final ArrayDeque<Attempt> queue = new ArrayDeque<>();
    private int running;
    private boolean slow;

    LoadReport createReport() {
      return new LoadReport(running + queue.size(), SLOTS, 100, "1", false);
    }
  }
}
