package org.radishpost.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Counts how the calls of a load ended; thread-safe.
 *
 * <p>Latency counts from the intended time of a call, and only for answered calls of the time after
 * the warm-up. Weight is counted at the time of the answer.
 */
final class LoadRecorder {
  private static final long HIGHEST_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int DIGITS = 3;
  private static final int WINDOW_DIGITS = 2;

  private final LoadPlan plan;
  private final long warmUpNanos;
  private final List<Histogram> kinds = new ArrayList<>();
  private final Histogram lateness = new Histogram(HIGHEST_MICROS, DIGITS);
  private final List<Histogram> windows = new ArrayList<>();
  private final long[][] outcomes;
  private final long[] weights;
  private long offeredWeight;
  private long ended;

  LoadRecorder(LoadPlan plan) {
    this.plan = plan;
    this.warmUpNanos = TimeUnit.MILLISECONDS.toNanos(plan.warmUpMillis());
    this.outcomes = new long[plan.kinds().size()][Outcome.values().length];
    this.weights = new long[(int) (plan.durationMillis() / LoadResult.WEIGHT_WINDOW_MILLIS) + 1];
    plan.kinds().forEach(kind -> kinds.add(new Histogram(HIGHEST_MICROS, DIGITS)));
    for (long at = 0; at <= plan.durationMillis(); at += LoadResult.LATENCY_WINDOW_MILLIS) {
      windows.add(new Histogram(HIGHEST_MICROS, WINDOW_DIGITS));
    }
  }

  /** Notes that a call was sent, at the given time from the start of the load. */
  synchronized void sent(Arrival arrival, long nowNanos) {
    if (arrival.offsetNanos() < warmUpNanos) {
      return;
    }
    offeredWeight += plan.kinds().get(arrival.kind()).weight();
    lateness.recordValue(micros(nowNanos - arrival.offsetNanos()));
  }

  /** Notes how a call ended, at the given time from the start of the load. */
  synchronized void ended(Arrival arrival, Outcome outcome, long nowNanos) {
    ended++;
    if (outcome == Outcome.ANSWERED) {
      deliver(plan.kinds().get(arrival.kind()).weight(), nowNanos);
    }
    if (arrival.offsetNanos() < warmUpNanos) {
      return;
    }
    outcomes[arrival.kind()][outcome.ordinal()]++;
    if (outcome == Outcome.ANSWERED) {
      long latency = micros(nowNanos - arrival.offsetNanos());
      kinds.get(arrival.kind()).recordValue(latency);
      windows
          .get(window(arrival.offsetNanos(), LoadResult.LATENCY_WINDOW_MILLIS))
          .recordValue(latency);
    }
  }

  /** Returns one line that tells how far the load is. */
  synchronized String progress() {
    Histogram all = all();
    return "%,d calls ended, p50 %.1f ms, p99 %.1f ms"
        .formatted(
            ended,
            LoadResult.millis(all.getValueAtPercentile(50)),
            LoadResult.millis(all.getValueAtPercentile(99)));
  }

  /** Returns everything that was counted. */
  synchronized LoadResult result(List<LoadResult.EventResult> events) {
    List<LoadResult.KindResult> results = new ArrayList<>();
    for (int i = 0; i < kinds.size(); i++) {
      results.add(
          new LoadResult.KindResult(
              plan.kinds().get(i).name(),
              LoadResult.Latency.of(kinds.get(i)),
              LoadResult.Outcomes.of(outcomes[i])));
    }
    long[] sums = new long[Outcome.values().length];
    for (long[] kind : outcomes) {
      for (int i = 0; i < sums.length; i++) {
        sums[i] += kind[i];
      }
    }
    return new LoadResult(
        plan.seed(),
        plan.callsPerSecond(),
        plan.durationMillis(),
        LoadResult.Latency.of(all()),
        LoadResult.Outcomes.of(sums),
        offeredWeight,
        results,
        LoadResult.Latency.of(lateness),
        List.copyOf(java.util.Arrays.stream(weights).limit(weights.length - 1L).boxed().toList()),
        windows.stream().map(LoadResult.Latency::of).toList(),
        events);
  }

  private void deliver(int weight, long nowNanos) {
    int window = window(nowNanos, LoadResult.WEIGHT_WINDOW_MILLIS);
    if (nowNanos >= warmUpNanos && window < weights.length) {
      weights[window] += weight;
    }
  }

  private int window(long nanos, long windowMillis) {
    return (int) (TimeUnit.NANOSECONDS.toMillis(nanos - warmUpNanos) / windowMillis);
  }

  private Histogram all() {
    Histogram all = new Histogram(HIGHEST_MICROS, DIGITS);
    kinds.forEach(all::add);
    return all;
  }

  private static long micros(long nanos) {
    return Math.clamp(TimeUnit.NANOSECONDS.toMicros(nanos), 0, HIGHEST_MICROS);
  }
}
