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
 * Measures one claim shard. A simulation in virtual time measures claim latency, log appends and
 * log bytes; a second one measures the execution time per claim and the heap per key.
 *
 * <p>Run {@link #main} with the seed as its only argument; the default is 1.
 */
public final class ClaimModel {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  private static final long SIMULATED_NANOS = 60 * NANOS_PER_SECOND;
  private static final long START_TIME_MILLIS = 1_800_000_000_000L;
  private static final long CLAIM_TIMEOUT_NANOS = 10 * NANOS_PER_SECOND;
  private static final ClaimOutcome OUTCOME = new ClaimOutcome(200, "", new byte[0]);
  private static final int COST_RUN_CLAIMS = 70_000;
  private static final int COST_RUNS = 6;
  private static final int DIGEST_BYTES = 32;
  private static final int[] RATES_PER_SECOND = {1, 20, 100, 500, 2_000, 10_000};
  private static final int[] ROUND_TRIP_MILLIS = {1, 16};

  /** An action at a point in virtual time. Actions at the same time run in scheduling order. */
  private record Event(long timeNanos, long sequence, Runnable action)
      implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(timeNanos, other.timeNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  /** A claim that has no result yet. */
  private record PendingClaim(long startNanos, ClaimRequest request) {}

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<Long, PendingClaim> pendingClaims = new HashMap<>();
  private final Histogram latency = new Histogram(3);
  private final ClaimShard shard = new ClaimShard(0);
  private final SplittableRandom random;
  private final long roundTripNanos;
  private long nowNanos;
  private long nextSequence;
  private long scheduledWakeNanos;
  private long lastOffset;
  private long lastAppendedOffset;
  private long appendCount;
  private long appendBytes;
  private long claimCount;

  private ClaimModel(long seed, long roundTripNanos) {
    random = new SplittableRandom(seed);
    this.roundTripNanos = roundTripNanos;
  }

  /**
   * Prints all tables.
   *
   * @param args the seed, 1 by default
   */
  public static void main(String[] args) {
    run(args.length > 0 ? Long.parseLong(args[0]) : 1, System.out);
  }

  /** Prints all tables, using the given seed. */
  public static void run(long seed, PrintStream out) {
    out.println(
        "| log round trip ms | claims/s | p50 ms | p99 ms | max ms | appends/s |"
            + " appends per claim | log bytes per claim |");
    out.println("|---|---|---|---|---|---|---|---|");
    for (int roundTripMillis : ROUND_TRIP_MILLIS) {
      for (int claimsPerSecond : RATES_PER_SECOND) {
        ClaimModel model = new ClaimModel(seed, roundTripMillis * NANOS_PER_MILLI);
        model.simulate(claimsPerSecond);
        out.println(model.formatRow(roundTripMillis, claimsPerSecond));
      }
    }
    printCost(seed, out);
  }

  private static void printCost(long seed, PrintStream out) {
    out.println("| processor time per claim and completion us | heap bytes per key |");
    out.println("|---|---|");
    Scheduler clock = Schedulers.parallel();
    for (int run = 0; run < COST_RUNS; run++) {
      long heapBytesBefore = heapBytes();
      long startMillis = clock.now(TimeUnit.MILLISECONDS);
      ClaimModel model = new ClaimModel(seed, NANOS_PER_MILLI);
      model.simulate((int) (COST_RUN_CLAIMS * NANOS_PER_SECOND / SIMULATED_NANOS));
      long elapsedMillis = clock.now(TimeUnit.MILLISECONDS) - startMillis;
      model.events.clear();
      double heapBytesPerKey = (double) (heapBytes() - heapBytesBefore) / model.shard.keyCount();
      double microsPerClaim = 1_000.0 * elapsedMillis / model.claimCount;
      out.println(String.format(Locale.ROOT, "| %.1f | %.0f |", microsPerClaim, heapBytesPerKey));
    }
    Schedulers.shutdownNow();
  }

  private static long heapBytes() {
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private String formatRow(int roundTripMillis, int claimsPerSecond) {
    double seconds = (double) SIMULATED_NANOS / NANOS_PER_SECOND;
    return String.format(
        Locale.ROOT,
        "| %d | %d | %.1f | %.1f | %.1f | %.1f | %.3f | %.0f |",
        roundTripMillis,
        claimsPerSecond,
        toMillis(latency.getValueAtPercentile(50)),
        toMillis(latency.getValueAtPercentile(99)),
        toMillis(latency.getMaxValue()),
        appendCount / seconds,
        (double) appendCount / claimCount,
        (double) appendBytes / claimCount);
  }

  private static double toMillis(long nanos) {
    return (double) nanos / NANOS_PER_MILLI;
  }

  private void simulate(int claimsPerSecond) {
    advanceShard();
    scheduleArrival(claimsPerSecond);
    while (!events.isEmpty() && events.peek().timeNanos() <= SIMULATED_NANOS) {
      Event event = events.poll();
      nowNanos = event.timeNanos();
      event.action().run();
      advanceShard();
    }
  }

  private void scheduleArrival(int claimsPerSecond) {
    double gapNanos = -Math.log(1 - random.nextDouble()) * NANOS_PER_SECOND / claimsPerSecond;
    scheduleAt(
        nowNanos + (long) gapNanos,
        () -> {
          claimCount++;
          ClaimRequest request = request(claimCount);
          pendingClaims.put(claimCount, new PendingClaim(nowNanos, request));
          shard.claim(claimCount, request, nowNanos + CLAIM_TIMEOUT_NANOS);
          scheduleArrival(claimsPerSecond);
        });
  }

  private ClaimRequest request(long claimNumber) {
    return new ClaimRequest(
        digest(claimNumber),
        digest(-claimNumber),
        START_TIME_MILLIS + nowNanos / NANOS_PER_MILLI,
        Set.of(),
        Optional.empty());
  }

  private static Digest digest(long number) {
    ByteBuffer bytes = ByteBuffer.allocate(DIGEST_BYTES);
    bytes.putLong(number * 0x9E3779B97F4A7C15L).putLong(number);
    return new Digest(HexFormat.of().formatHex(bytes.array()));
  }

  private void advanceShard() {
    List<ClaimAction> actions = new ArrayList<>(shard.advance(nowNanos));
    actions.forEach(this::perform);
    long nextWakeNanos = shard.nextWakeNanos();
    if (nextWakeNanos > nowNanos && nextWakeNanos != scheduledWakeNanos) {
      scheduledWakeNanos = nextWakeNanos;
      scheduleAt(nextWakeNanos, () -> {});
    }
  }

  private void perform(ClaimAction action) {
    switch (action) {
      case ClaimAction.Append append -> append(append.payload());
      case ClaimAction.Read unused -> scheduleAt(nowNanos + roundTripNanos, this::completeRead);
      case ClaimAction.ReportResult result -> handleClaimResult(result.requestId());
      default -> {}
    }
  }

  private void append(byte[] payload) {
    appendCount++;
    appendBytes += payload.length;
    long recordOffset = ++lastOffset;
    long recordTimeMillis = START_TIME_MILLIS + (nowNanos + roundTripNanos / 2) / NANOS_PER_MILLI;
    LogRecord record = new LogRecord(recordOffset, recordTimeMillis, payload);
    scheduleAt(
        nowNanos + roundTripNanos,
        () -> {
          lastAppendedOffset = recordOffset;
          shard.appended(record);
        });
  }

  private void completeRead() {
    long nextOffset = lastAppendedOffset + 1;
    shard.readCompleted(
        new LogPage(
            List.of(), nextOffset, nextOffset, START_TIME_MILLIS + nowNanos / NANOS_PER_MILLI, 0),
        nowNanos);
  }

  private void handleClaimResult(long requestId) {
    PendingClaim pending = pendingClaims.remove(requestId);
    latency.recordValue(nowNanos - pending.startNanos());
    shard.end(-requestId, pending.request(), Optional.of(OUTCOME), nowNanos + CLAIM_TIMEOUT_NANOS);
  }

  private void scheduleAt(long nanos, Runnable action) {
    events.add(new Event(nanos, nextSequence++, action));
  }
}
