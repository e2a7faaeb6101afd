package org.radishpost.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.TenantName;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;
import org.radishpost.routing.LinkCosts;
import org.radishpost.routing.PoolChooser;

/**
 * A queueing simulation of pool selection: each entry VM has a pool chooser, each zone has one
 * pool, and links between zones and regions have latency.
 *
 * <p>Service times are lognormal. All targets of a pool slow down together for random periods. Pool
 * views are attached to responses, and an entry VM receives only the views from its own calls. The
 * same seed yields the same results. Create one instance for each run. Not thread-safe.
 */
public final class LocalityModel {
  /** The number of slots of each pool. */
  public static final int SLOTS = 4;

  private static final int MAX_QUEUED_CALLS = 64;
  private static final int ENTRY_VMS = 16;
  private static final double MEAN_SERVICE_NANOS = 10e6;
  private static final double SIGMA = 0.8;
  private static final double SLOW_FACTOR = 4;
  private static final double MEAN_SLOW_PERIOD_NANOS = 400e6;
  private static final double MEAN_NORMAL_PERIOD_NANOS = 4_600e6;
  private static final double PERCENT = 100;
  private static final long BODY_BYTES = 4_096;
  private static final long DEADLINE_NANOS = 5_000_000_000L;
  private static final GatewayName GATEWAY = new GatewayName("model");
  private static final ServiceName SERVICE = new ServiceName("model");
  private static final TenantName TENANT = new TenantName("model");
  private static final List<Place> PLACES =
      List.of(
          Place.of("one", "one-a"),
          Place.of("one", "one-b"),
          Place.of("two", "two-a"),
          Place.of("two", "two-b"),
          Place.of("three", "three-a"),
          Place.of("three", "three-b"));
  private static final LinkCosts LINK_COSTS = LinkCosts.DEFAULT;

  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::timeNanos).thenComparing(Event::sequence));
  private final Map<PoolId, SimulatedPool> pools = new LinkedHashMap<>();
  private final List<Entry> entries = new ArrayList<>();
  private final List<Long> latenciesNanos = new ArrayList<>();
  private long nowNanos;
  private long nextSequence;
  private int refusedCalls;
  private int crossRegionSends;

  /**
   * Creates a model for one run.
   *
   * @param seed the seed of all random numbers
   * @param chooserFactory creates the pool chooser of an entry VM from its place and its source of
   *     random numbers
   */
  public LocalityModel(long seed, BiFunction<Place, RandomGenerator, PoolChooser> chooserFactory) {
    random = new SplittableRandom(seed);
    for (Place place : PLACES) {
      PoolId id = new PoolId(GATEWAY, SERVICE, place, 0);
      pools.put(id, new SimulatedPool(id));
    }
    for (int i = 0; i < ENTRY_VMS; i++) {
      Place place = PLACES.get(i % PLACES.size());
      entries.add(new Entry(place, chooserFactory.apply(place, random.split())));
    }
  }

  /**
   * Runs the simulation.
   *
   * @param loadShare the offered load as a fraction of the capacity of all pools
   * @param skew the arrival rate of an entry VM in the first region, relative to that of an entry
   *     VM in another region
   * @param seconds the simulated time during which calls arrive
   */
  public LocalityModelResult run(double loadShare, double skew, int seconds) {
    double totalWeight = entries.stream().mapToDouble(entry -> entry.weight(skew)).sum();
    double meanServiceFactor = slowShare() * SLOW_FACTOR + 1 - slowShare();
    double capacityCallsPerNano = pools.size() * SLOTS / (MEAN_SERVICE_NANOS * meanServiceFactor);
    long endNanos = seconds * 1_000_000_000L;
    entries.forEach(
        entry ->
            scheduleArrivals(
                entry,
                capacityCallsPerNano * loadShare * entry.weight(skew) / totalWeight,
                endNanos));
    pools.values().forEach(pool -> switchSpeed(pool, false, endNanos));
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowNanos = event.timeNanos();
      event.action().run();
    }
    long[] sortedLatencies = latenciesNanos.stream().mapToLong(Long::longValue).sorted().toArray();
    int callCount = sortedLatencies.length + refusedCalls;
    return new LocalityModelResult(
        sortedLatencies[sortedLatencies.length / 2] / 1e6,
        sortedLatencies[(int) (sortedLatencies.length * 0.99)] / 1e6,
        PERCENT * crossRegionSends / callCount,
        PERCENT * refusedCalls / callCount);
  }

  private void scheduleArrivals(Entry entry, double callsPerNano, long endNanos) {
    schedule(
        drawExponential(1 / callsPerNano),
        () -> {
          if (nowNanos < endNanos) {
            send(entry, new HashSet<>(), nowNanos);
            scheduleArrivals(entry, callsPerNano, endNanos);
          }
        });
  }

  private void switchSpeed(SimulatedPool pool, boolean nowSlow, long endNanos) {
    pool.slow = nowSlow;
    schedule(
        drawExponential(nowSlow ? MEAN_SLOW_PERIOD_NANOS : MEAN_NORMAL_PERIOD_NANOS),
        () -> {
          if (nowNanos < endNanos) {
            switchSpeed(pool, !nowSlow, endNanos);
          }
        });
  }

  private void send(Entry entry, Set<PoolId> tried, long startNanos) {
    CallInfo callInfo = createCall(startNanos);
    Set<PoolId> candidates = new LinkedHashSet<>(pools.keySet());
    Optional<PoolId> chosen = entry.chooser.choose(callInfo, candidates, tried, nowNanos);
    if (chosen.isEmpty()) {
      refusedCalls++;
      return;
    }
    SimulatedPool pool = pools.get(chosen.get());
    crossRegionSends += entry.place.region().equals(pool.id.place().region()) ? 0 : 1;
    schedule(oneWayNanos(entry, pool), () -> pool.receive(new Call(entry, tried, startNanos)));
  }

  private static CallInfo createCall(long startNanos) {
    return new CallInfo(
        new CallId(0),
        GATEWAY,
        "model",
        SERVICE,
        TENANT,
        RequestKind.READ,
        1,
        true,
        startNanos + DEADLINE_NANOS,
        BODY_BYTES,
        Set.of(),
        Optional.empty(),
        0);
  }

  private long oneWayNanos(Entry entry, SimulatedPool pool) {
    return LINK_COSTS.roundTripNanos(entry.place.distanceTo(pool.id.place())) / 2;
  }

  private void schedule(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, nextSequence++, action));
  }

  private long drawExponential(double meanNanos) {
    return (long) (-meanNanos * Math.log(1 - random.nextDouble()));
  }

  private static double slowShare() {
    return MEAN_SLOW_PERIOD_NANOS / (MEAN_SLOW_PERIOD_NANOS + MEAN_NORMAL_PERIOD_NANOS);
  }

  private record Event(long timeNanos, long sequence, Runnable action) {}

  private record Call(Entry entry, Set<PoolId> tried, long startNanos) {}

  private record Entry(Place place, PoolChooser chooser) {
    double weight(double skew) {
      return place.region().equals(PLACES.getFirst().region()) ? skew : 1;
    }
  }

  private final class SimulatedPool {
    private final PoolId id;
    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    private boolean slow;
    private int running;
    private double meanServiceNanos = MEAN_SERVICE_NANOS;

    SimulatedPool(PoolId id) {
      this.id = id;
    }

    void receive(Call call) {
      if (queue.size() >= MAX_QUEUED_CALLS) {
        PoolView view = createView();
        schedule(oneWayNanos(call.entry, this), () -> deliverHandBack(call, view));
        return;
      }
      queue.add(call);
      startNext();
    }

    private void startNext() {
      if (running == SLOTS || queue.isEmpty()) {
        return;
      }
      Call call = queue.poll();
      running++;
      double lognormalFactor = Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
      long serviceNanos = (long) (MEAN_SERVICE_NANOS * lognormalFactor * (slow ? SLOW_FACTOR : 1));
      schedule(serviceNanos, () -> finishCall(call, serviceNanos));
    }

    private void finishCall(Call call, long serviceNanos) {
      running--;
      meanServiceNanos += 0.1 * (serviceNanos - meanServiceNanos);
      startNext();
      PoolView view = createView();
      schedule(oneWayNanos(call.entry, this), () -> deliverResponse(call, view));
    }

    private void deliverResponse(Call call, PoolView view) {
      call.entry.chooser.viewReceived(view, nowNanos);
      latenciesNanos.add(nowNanos - call.startNanos);
    }

    private void deliverHandBack(Call call, PoolView view) {
      call.entry.chooser.viewReceived(view, nowNanos);
      call.entry.chooser.callHandedBack(id, HandBackReason.QUEUE_FULL, nowNanos);
      call.tried.add(id);
      send(call.entry, call.tried, call.startNanos);
    }

    private PoolView createView() {
      double callsAhead = Math.max(0, running + queue.size() + 1 - SLOTS);
      long waitNanos = (long) (callsAhead * meanServiceNanos / SLOTS);
      return new PoolView(id, SLOTS, running, queue.size(), waitNanos, (long) meanServiceNanos, 1);
    }
  }
}
