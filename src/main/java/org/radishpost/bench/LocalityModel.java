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
 * A queueing calculation: entry VMs with a chooser each, one pool in each zone, slow links between.
 *
 * <p>Service times are lognormal. A pool's targets become slow together for spells. Views travel on
 * answers, so that each VM knows only what its own calls brought back. The same seed gives the same
 * figures. Create one for each run; one thread at a time.
 */
public final class LocalityModel {
  /** The slots of each pool. */
  public static final int SLOTS = 4;

  private static final int QUEUE_BOUND = 64;
  private static final int ENTRIES = 16;
  private static final double SERVICE_NANOS = 10e6;
  private static final double SIGMA = 0.8;
  private static final double SLOW_FACTOR = 4;
  private static final double SLOW_SPELL_NANOS = 400e6;
  private static final double FAST_SPELL_NANOS = 4_600e6;
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
  private static final LinkCosts LINKS = LinkCosts.DEFAULT;

  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparing(Event::number));
  private final Map<PoolId, PoolModel> pools = new LinkedHashMap<>();
  private final List<Entry> entries = new ArrayList<>();
  private final List<Long> latencies = new ArrayList<>();
  private long nowNanos;
  private long number;
  private int refused;
  private int crossed;

  /**
   * Creates a run.
   *
   * @param seed the seed of all random numbers
   * @param chooser makes the chooser of a VM at a place
   */
  public LocalityModel(long seed, BiFunction<Place, RandomGenerator, PoolChooser> chooser) {
    random = new SplittableRandom(seed);
    for (Place place : PLACES) {
      PoolId id = new PoolId(GATEWAY, SERVICE, place, 0);
      pools.put(id, new PoolModel(id));
    }
    for (int i = 0; i < ENTRIES; i++) {
      Place place = PLACES.get(i % PLACES.size());
      entries.add(new Entry(place, chooser.apply(place, random.split())));
    }
  }

  /**
   * Runs the calculation.
   *
   * @param load the offered load as a share of what all slots carry
   * @param skew how many times as many calls come to an entry VM of the first region
   * @param seconds how long
   */
  public LocalityModelLine run(double load, double skew, int seconds) {
    double total = entries.stream().mapToDouble(entry -> entry.weight(skew)).sum();
    double meanFactor = slowShare() * SLOW_FACTOR + 1 - slowShare();
    double capacity = pools.size() * SLOTS / (SERVICE_NANOS * meanFactor);
    long endNanos = seconds * 1_000_000_000L;
    entries.forEach(
        entry -> arrivals(entry, capacity * load * entry.weight(skew) / total, endNanos));
    pools.values().forEach(pool -> spell(pool, false, endNanos));
    while (!events.isEmpty()) {
      Event event = events.poll();
      nowNanos = event.atNanos();
      event.action().run();
    }
    long[] sorted = latencies.stream().mapToLong(Long::longValue).sorted().toArray();
    int calls = sorted.length + refused;
    return new LocalityModelLine(
        sorted[sorted.length / 2] / 1e6,
        sorted[(int) (sorted.length * 0.99)] / 1e6,
        PERCENT * crossed / calls,
        PERCENT * refused / calls);
  }

  private void arrivals(Entry entry, double callsPerNano, long endNanos) {
    at(
        exponential(1 / callsPerNano),
        () -> {
          if (nowNanos < endNanos) {
            send(entry, new HashSet<>(), nowNanos);
            arrivals(entry, callsPerNano, endNanos);
          }
        });
  }

  private void spell(PoolModel pool, boolean slow, long endNanos) {
    pool.slow = slow;
    at(
        exponential(slow ? SLOW_SPELL_NANOS : FAST_SPELL_NANOS),
        () -> {
          if (nowNanos < endNanos) {
            spell(pool, !slow, endNanos);
          }
        });
  }

  private void send(Entry entry, Set<PoolId> tried, long startNanos) {
    CallInfo call = call(startNanos);
    Set<PoolId> candidates = new LinkedHashSet<>(pools.keySet());
    Optional<PoolId> chosen = entry.chooser.choose(call, candidates, tried, nowNanos);
    if (chosen.isEmpty()) {
      refused++;
      return;
    }
    PoolModel pool = pools.get(chosen.get());
    crossed += entry.place.region().equals(pool.id.place().region()) ? 0 : 1;
    at(way(entry, pool), () -> pool.take(new Call(entry, tried, startNanos)));
  }

  private static CallInfo call(long startNanos) {
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

  private long way(Entry entry, PoolModel pool) {
    return LINKS.roundTripNanos(entry.place.distanceTo(pool.id.place())) / 2;
  }

  private void at(long delayNanos, Runnable action) {
    events.add(new Event(nowNanos + delayNanos, number++, action));
  }

  private long exponential(double mean) {
    return (long) (-mean * Math.log(1 - random.nextDouble()));
  }

  private static double slowShare() {
    return SLOW_SPELL_NANOS / (SLOW_SPELL_NANOS + FAST_SPELL_NANOS);
  }

  private record Event(long atNanos, long number, Runnable action) {}

  private record Call(Entry entry, Set<PoolId> tried, long startNanos) {}

  private record Entry(Place place, PoolChooser chooser) {
    double weight(double skew) {
      return place.region().equals(PLACES.getFirst().region()) ? skew : 1;
    }
  }

  private final class PoolModel {
    private final PoolId id;
    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    private boolean slow;
    private int running;
    private double meanServiceNanos = SERVICE_NANOS;

    PoolModel(PoolId id) {
      this.id = id;
    }

    void take(Call call) {
      if (queue.size() >= QUEUE_BOUND) {
        PoolView view = view();
        at(way(call.entry, this), () -> handBack(call, view));
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
      double spread = Math.exp(SIGMA * random.nextGaussian() - SIGMA * SIGMA / 2);
      long serviceNanos = (long) (SERVICE_NANOS * spread * (slow ? SLOW_FACTOR : 1));
      at(serviceNanos, () -> end(call, serviceNanos));
    }

    private void end(Call call, long serviceNanos) {
      running--;
      meanServiceNanos += 0.1 * (serviceNanos - meanServiceNanos);
      startNext();
      PoolView view = view();
      at(way(call.entry, this), () -> answered(call, view));
    }

    private void answered(Call call, PoolView view) {
      call.entry.chooser.viewReceived(view, nowNanos);
      latencies.add(nowNanos - call.startNanos);
    }

    private void handBack(Call call, PoolView view) {
      call.entry.chooser.viewReceived(view, nowNanos);
      call.entry.chooser.callHandedBack(id, HandBackReason.QUEUE_FULL, nowNanos);
      call.tried.add(id);
      send(call.entry, call.tried, call.startNanos);
    }

    private PoolView view() {
      double ahead = Math.max(0, running + queue.size() + 1 - SLOTS);
      long wait = (long) (ahead * meanServiceNanos / SLOTS);
      return new PoolView(id, SLOTS, running, queue.size(), wait, (long) meanServiceNanos, 1);
    }
  }
}
