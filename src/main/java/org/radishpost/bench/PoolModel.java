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
 * A queueing calculation in virtual time over the real pools: one zone's targets, slowed at random.
 *
 * <p>Call {@link #run} for the whole table or {@link #cell} for one line of it. The same seed gives
 * the same figures. One thread at a time.
 */
public final class PoolModel {
  private static final int TARGETS = 12;
  private static final int SLOTS = 2;
  private static final int CONNECTIONS = 240;
  private static final int ENTRY_VMS = 16;
  private static final int TENANTS = 4;
  private static final int MAX_WAITING_AT_TARGET = 32;
  private static final int[] MEANS_MILLIS = {3, 10};
  private static final int[] LOADS_PERCENT = {50, 80, 95, 120, 200};
  private static final double SLOW_FACTOR = 4;
  private static final double SLOW_SHARE = 0.08;
  private static final double SIGMA = 0.8;
  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final long HOP_NANOS = MILLI / 2;
  private static final long SLOW_NANOS = 500 * MILLI;
  private static final long TICK_NANOS = 5 * MILLI;
  private static final long WARM_UP_NANOS = 3 * SECOND;
  private static final long MEASURED_NANOS = 20 * SECOND;
  private static final long DEADLINE_NANOS = 250 * MILLI;
  private static final int[] WEIGHTS = {1, 1, 1, 1, 1, 1, 1, 3, 3, 10};
  private static final ServiceName SERVICE = new ServiceName("model");
  private static final GatewayName GATEWAY = new GatewayName("model");
  private static final Place PLACE = Place.of("region", "zone");

  private final SplittableRandom arrivals;
  private final SplittableRandom speeds;
  private final SplittableRandom times;
  private final SplittableRandom choices;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final List<Pool> pools = new ArrayList<>();
  private final Map<Endpoint, Target> targets = new HashMap<>();
  private final Map<CallId, Running> calls = new HashMap<>();
  private final Histogram latency = new Histogram(3);
  private final PoolVariant variant;
  private final long meanNanos;
  private final double gapNanos;
  private long now;
  private long nextOrder;
  private long nextCall;
  private long weightOffered;
  private long weightDelivered;

  private PoolModel(PoolVariant variant, int meanMillis, int loadPercent, long seed) {
    this.variant = variant;
    this.meanNanos = meanMillis * MILLI;
    SplittableRandom random = new SplittableRandom(seed);
    this.arrivals = random.split();
    this.speeds = random.split();
    this.times = random.split();
    this.choices = random.split();
    double speed = 1 - SLOW_SHARE + SLOW_SHARE / SLOW_FACTOR;
    this.gapNanos = meanNanos / (TARGETS * SLOTS * speed * loadPercent / 100.0);
  }

  /**
   * Runs every variant, mean time and load, and prints a table of medians as it goes.
   *
   * @param seed the first seed
   * @param runs the runs of each setting, each with the next seed
   * @param out where the table goes
   */
  public static List<PoolModelLine> run(long seed, int runs, PrintStream out) {
    out.println("| variant | mean ms | load % | p50 ms | p99 ms | p99.9 ms | weight % |");
    out.println("|---|---|---|---|---|---|---|");
    List<PoolModelLine> lines = new ArrayList<>();
    for (int mean : MEANS_MILLIS) {
      for (int load : LOADS_PERCENT) {
        for (PoolVariant variant : PoolVariant.values()) {
          List<PoolModelLine> all =
              LongStream.range(seed, seed + runs)
                  .mapToObj(each -> cell(variant, mean, load, each))
                  .toList();
          PoolModelLine line = PoolModelLine.median(all);
          out.println(line);
          lines.add(line);
        }
      }
    }
    return lines;
  }

  /** Runs one variant at one mean time and load. */
  public static PoolModelLine cell(
      PoolVariant variant, int meanMillis, int loadPercent, long seed) {
    PoolModel model = new PoolModel(variant, meanMillis, loadPercent, seed);
    model.simulate();
    return new PoolModelLine(
        variant,
        meanMillis,
        loadPercent,
        model.latency.getValueAtPercentile(50) / (double) MILLI,
        model.latency.getValueAtPercentile(99) / (double) MILLI,
        model.latency.getValueAtPercentile(99.9) / (double) MILLI,
        100.0 * model.weightDelivered / model.weightOffered);
  }

  private void simulate() {
    ServiceSpec service = service();
    service.targets().forEach(t -> targets.put(t.address(), new Target()));
    targets.values().forEach(this::switchSpeed);
    int poolCount = variant.owned() ? 1 : ENTRY_VMS;
    for (int i = 0; i < poolCount; i++) {
      PoolId id = new PoolId(GATEWAY, SERVICE, PLACE, 0);
      SuspectRegistry suspects =
          new SuspectRegistry(new VmId("vm-" + i), (regions, f, points) -> {});
      Pool pool =
          PoolFactory.create(
              variant.policy(), id, variant.limits(), choices.split(), suspects, () -> 1);
      pool.configure(service, service.targets(), 0, action -> act(pool, action));
      pools.add(pool);
    }
    at(0, this::arrive);
    at(0, this::tick);
    while (now < WARM_UP_NANOS + MEASURED_NANOS) {
      Event event = events.remove();
      now = event.timeNanos;
      event.work.run();
    }
  }

  private static ServiceSpec service() {
    List<TargetSpec> specs = new ArrayList<>();
    for (int i = 0; i < TARGETS; i++) {
      specs.add(new TargetSpec(new Endpoint("127.0.0.1", 1 + i), PLACE, SLOTS, CONNECTIONS));
    }
    ColdStartSpec cold = new ColdStartSpec(2, 20, Duration.ofSeconds(5));
    ProbeSpec probe = new ProbeSpec("/load", Duration.ofMillis(6), Duration.ofSeconds(1));
    return new ServiceSpec(SERVICE, specs, cold, probe, 30);
  }

  private void arrive() {
    at((long) (-Math.log(1 - arrivals.nextDouble()) * gapNanos), this::arrive);
    int weight = WEIGHTS[arrivals.nextInt(WEIGHTS.length)];
    CallInfo call = call(weight);
    int entry = arrivals.nextInt(ENTRY_VMS);
    Pool pool = pools.get(variant.owned() ? 0 : entry);
    long hop = variant.owned() && entry > 0 ? HOP_NANOS : 0;
    boolean measured = now >= WARM_UP_NANOS && now < WARM_UP_NANOS + MEASURED_NANOS - SECOND;
    calls.put(call.id(), new Running(call, pool, now, hop, measured));
    weightOffered += measured ? weight : 0;
    at(hop, () -> pool.offer(call, now, action -> act(pool, action)));
  }

  private CallInfo call(int weight) {
    return new CallInfo(
        new CallId(nextCall++),
        GATEWAY,
        "route",
        SERVICE,
        new TenantName("tenant-" + arrivals.nextInt(TENANTS)),
        RequestKind.READ,
        weight,
        true,
        now + DEADLINE_NANOS,
        0,
        Set.of(),
        Optional.empty(),
        0);
  }

  private void act(Pool pool, PoolAction action) {
    switch (action) {
      case PoolAction.Send send -> {
        Running call = calls.get(send.call().id());
        Target target = targets.get(send.target());
        at(HOP_NANOS, () -> reach(call, target, now - HOP_NANOS));
      }
      case PoolAction.HandBack back -> calls.remove(back.call());
      case PoolAction.Probe probe -> {
        Optional<LoadReport> report = Optional.of(targets.get(probe.target()).report());
        at(
            2 * HOP_NANOS,
            () -> pool.probeCompleted(probe.target(), report, now, a -> act(pool, a)));
      }
      case PoolAction.OpenIdleConnections o -> {}
      case PoolAction.CloseIdleConnections c -> {}
      case PoolAction.RecordStateChange s -> {}
    }
  }

  private void reach(Running call, Target target, long sentNanos) {
    Visit visit = new Visit(call, sentNanos);
    if (target.running < SLOTS) {
      start(visit, target);
    } else if (target.waiting.size() < MAX_WAITING_AT_TARGET) {
      target.waiting.add(visit);
    } else {
      end(visit, new TargetOutcome.Shed(Optional.of(target.report())));
    }
  }

  private void start(Visit visit, Target target) {
    target.running++;
    double scale = Math.exp(SIGMA * times.nextGaussian() - SIGMA * SIGMA / 2);
    long takes = (long) (meanNanos * scale * (target.slow ? SLOW_FACTOR : 1));
    at(takes, () -> finish(visit, target));
  }

  private void finish(Visit visit, Target target) {
    target.running--;
    while (target.running < SLOTS && !target.waiting.isEmpty()) {
      Visit next = target.waiting.remove();
      if (next.call.info.deadlineNanos() > now) {
        start(next, target);
      } else {
        end(next, new TargetOutcome.Shed(Optional.of(target.report())));
      }
    }
    long took = now + HOP_NANOS - visit.sentNanos;
    end(visit, new TargetOutcome.Responded(200, Optional.of(target.report()), took));
  }

  private void end(Visit visit, TargetOutcome outcome) {
    Running call = visit.call;
    at(HOP_NANOS, () -> call.pool.callEnded(call.info.id(), outcome, now, a -> act(call.pool, a)));
    calls.remove(call.info.id());
    long total = now + HOP_NANOS + call.hopNanos - call.beganNanos;
    boolean inTime = outcome instanceof TargetOutcome.Responded && total <= DEADLINE_NANOS;
    if (call.measured && inTime) {
      latency.recordValue(total);
      weightDelivered += call.info.weight();
    }
  }

  private void tick() {
    pools.forEach(pool -> pool.tick(now, action -> act(pool, action)));
    at(TICK_NANOS, this::tick);
  }

  private void switchSpeed(Target target) {
    target.slow = now > 0 && !target.slow;
    double mean = target.slow ? SLOW_NANOS : SLOW_NANOS * (1 - SLOW_SHARE) / SLOW_SHARE;
    at(1 + (long) (-Math.log(1 - speeds.nextDouble()) * mean), () -> switchSpeed(target));
  }

  private void at(long delayNanos, Runnable work) {
    events.add(new Event(now + delayNanos, nextOrder++, work));
  }

  private record Event(long timeNanos, long order, Runnable work) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(timeNanos, other.timeNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private record Running(
      CallInfo info, Pool pool, long beganNanos, long hopNanos, boolean measured) {}

  private record Visit(Running call, long sentNanos) {}

  private static final class Target {
    private final ArrayDeque<Visit> waiting = new ArrayDeque<>();
    private int running;
    private boolean slow;

    LoadReport report() {
      return new LoadReport(running + waiting.size(), SLOTS, 100, "1", false);
    }
  }
}
