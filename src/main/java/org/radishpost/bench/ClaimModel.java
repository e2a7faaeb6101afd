package org.radishpost.bench;

import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.radishpost.claims.ClaimAction;
import org.radishpost.claims.ClaimOutcome;
import org.radishpost.claims.ClaimRequest;
import org.radishpost.claims.ClaimShard;
import org.radishpost.lib.Digest;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * Measures one shard of claims: latency, appends and bytes in simulated time, then processor time
 * and heap.
 *
 * <p>Run its {@link #main}; the one argument is the seed.
 */
public final class ClaimModel {
  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final long RUN_NANOS = 60 * SECOND;
  private static final long EPOCH_MILLIS = 1_800_000_000_000L;
  private static final long WAIT_NANOS = 10 * SECOND;
  private static final ClaimOutcome OUTCOME = new ClaimOutcome(200, "", new byte[0]);
  private static final int COST_CLAIMS = 70_000;
  private static final int COST_ROUNDS = 6;
  private static final int DIGEST_BYTES = 32;
  private static final int[] RATES = {1, 20, 100, 500, 2_000, 10_000};
  private static final int[] ROUND_TRIP_MILLIS = {1, 16};

  /** Something that happens at a time. */
  private record Event(long nanos, long order, Runnable work) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(nanos, other.nanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  /** A claim that waits for its answer. */
  private record Asked(long nanos, ClaimRequest request) {}

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<Long, Asked> asked = new HashMap<>();
  private final Histogram latency = new Histogram(3);
  private final ClaimShard shard = new ClaimShard(0);
  private final SplittableRandom random;
  private final long roundTripNanos;
  private long now;
  private long order;
  private long wakeNanos;
  private long offset;
  private long landedOffset;
  private long appends;
  private long appendBytes;
  private long claims;

  private ClaimModel(long seed, long roundTripNanos) {
    random = new SplittableRandom(seed);
    this.roundTripNanos = roundTripNanos;
  }

  /** Prints all tables. */
  public static void main(String[] args) {
    run(args.length > 0 ? Long.parseLong(args[0]) : 1, System.out);
  }

  /** Prints all tables, with this seed. */
  public static void run(long seed, PrintStream out) {
    out.println(
        "| log round trip ms | claims/s | p50 ms | p99 ms | max ms | appends/s |"
            + " appends per claim | log bytes per claim |");
    out.println("|---|---|---|---|---|---|---|---|");
    for (int millis : ROUND_TRIP_MILLIS) {
      for (int rate : RATES) {
        ClaimModel model = new ClaimModel(seed, millis * MILLI);
        model.simulate(rate);
        out.println(model.line(millis, rate));
      }
    }
    printCost(seed, out);
  }

  private static void printCost(long seed, PrintStream out) {
    out.println("| processor time per claim and settlement us | heap bytes per key |");
    out.println("|---|---|");
    Scheduler clock = Schedulers.parallel();
    for (int round = 0; round < COST_ROUNDS; round++) {
      long heapBefore = heapBytes();
      long start = clock.now(TimeUnit.MILLISECONDS);
      ClaimModel model = new ClaimModel(seed, MILLI);
      model.simulate((int) (COST_CLAIMS * SECOND / RUN_NANOS));
      long millis = clock.now(TimeUnit.MILLISECONDS) - start;
      model.events.clear();
      double heap = (double) (heapBytes() - heapBefore) / model.shard.keyCount();
      double micros = 1_000.0 * millis / model.claims;
      out.println(String.format(Locale.ROOT, "| %.1f | %.0f |", micros, heap));
    }
    Schedulers.shutdownNow();
  }

  private static long heapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private String line(int millis, int rate) {
    double seconds = (double) RUN_NANOS / SECOND;
    return String.format(
        Locale.ROOT,
        "| %d | %d | %.1f | %.1f | %.1f | %.1f | %.3f | %.0f |",
        millis,
        rate,
        millis(latency.getValueAtPercentile(50)),
        millis(latency.getValueAtPercentile(99)),
        millis(latency.getMaxValue()),
        appends / seconds,
        (double) appends / claims,
        (double) appendBytes / claims);
  }

  private static double millis(long nanos) {
    return (double) nanos / MILLI;
  }

  private void simulate(int claimsPerSecond) {
    act();
    scheduleArrival(claimsPerSecond);
    while (!events.isEmpty() && events.peek().nanos() <= RUN_NANOS) {
      Event event = events.poll();
      now = event.nanos();
      event.work().run();
      act();
    }
  }

  private void scheduleArrival(int claimsPerSecond) {
    double gap = -Math.log(1 - random.nextDouble()) * SECOND / claimsPerSecond;
    at(
        now + (long) gap,
        () -> {
          claims++;
          ClaimRequest request = request(claims);
          asked.put(claims, new Asked(now, request));
          shard.claim(claims, request, now + WAIT_NANOS);
          scheduleArrival(claimsPerSecond);
        });
  }

  private ClaimRequest request(long claim) {
    return new ClaimRequest(
        digest(claim), digest(-claim), EPOCH_MILLIS + now / MILLI, Set.of(), Optional.empty());
  }

  private static Digest digest(long number) {
    ByteBuffer bytes = ByteBuffer.allocate(DIGEST_BYTES);
    bytes.putLong(number * 0x9E3779B97F4A7C15L).putLong(number);
    return new Digest(HexFormat.of().formatHex(bytes.array()));
  }

  private void act() {
    List<ClaimAction> actions = new ArrayList<>(shard.advance(now));
    actions.forEach(this::perform);
    long wake = shard.nextWakeNanos();
    if (wake > now && wake != wakeNanos) {
      wakeNanos = wake;
      at(wake, () -> {});
    }
  }

  private void perform(ClaimAction action) {
    switch (action) {
      case ClaimAction.Append append -> append(append.payload());
      case ClaimAction.Read unused -> at(now + roundTripNanos, this::read);
      case ClaimAction.ReportResult answer -> answered(answer.requestId());
      default -> {}
    }
  }

  private void append(byte[] payload) {
    appends++;
    appendBytes += payload.length;
    long place = ++offset;
    long takenMillis = EPOCH_MILLIS + (now + roundTripNanos / 2) / MILLI;
    LogRecord record = new LogRecord(place, takenMillis, payload);
    at(
        now + roundTripNanos,
        () -> {
          landedOffset = place;
          shard.appended(record);
        });
  }

  private void read() {
    long next = landedOffset + 1;
    shard.readCompleted(new LogPage(List.of(), next, next, EPOCH_MILLIS + now / MILLI, 0), now);
  }

  private void answered(long ask) {
    Asked claim = asked.remove(ask);
    latency.recordValue(now - claim.nanos());
    shard.end(-ask, claim.request(), Optional.of(OUTCOME), now + WAIT_NANOS);
  }

  private void at(long nanos, Runnable work) {
    events.add(new Event(nanos, order++, work));
  }
}
