package org.radishpost.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Records the outcomes, latencies and weights of the calls of a load. Thread-safe.
 *
 * <p>Outcomes, offered weight and latency cover the calls scheduled after the warm-up. Latency is
 * measured for answered calls, from their scheduled time. Delivered weight is counted at the time
 * of the response, including responses to warm-up calls that arrive after the warm-up.
 */
final class LoadRecorder {
  private static final long MAX_RECORDED_MICROS = TimeUnit.MINUTES.toMicros(10);
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final int WINDOW_SIGNIFICANT_DIGITS = 2;

  private final LoadPlan plan;
  private final long warmUpNanos;
  private final List<Histogram> latencyByKind = new ArrayList<>();
  private final Histogram sendDelay = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
  private final List<Histogram> latencyByWindow = new ArrayList<>();
  private final long[][] outcomeCountsByKind;
  private final long[] deliveredWeightByWindow;
  private long offeredWeight;
  private long endedCalls;

  LoadRecorder(LoadPlan plan) {
    this.plan = plan;
    this.warmUpNanos = TimeUnit.MILLISECONDS.toNanos(plan.warmUpMillis());
    this.outcomeCountsByKind = new long[plan.kinds().size()][Outcome.values().length];
    this.deliveredWeightByWindow =
        new long[(int) (plan.durationMillis() / LoadResult.WEIGHT_WINDOW_MILLIS) + 1];
    plan.kinds()
        .forEach(kind -> latencyByKind.add(new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS)));
    for (long startMillis = 0;
        startMillis <= plan.durationMillis();
        startMillis += LoadResult.LATENCY_WINDOW_MILLIS) {
      latencyByWindow.add(new Histogram(MAX_RECORDED_MICROS, WINDOW_SIGNIFICANT_DIGITS));
    }
  }

  /**
   * Records the weight and the send delay of a call that is due.
   *
   * @param arrival the call
   * @param elapsedNanos the current time, measured from the start of the load
   */
  synchronized void recordArrival(Arrival arrival, long elapsedNanos) {
    if (arrival.offsetNanos() < warmUpNanos) {
      return;
    }
    offeredWeight += plan.kinds().get(arrival.kindIndex()).weight();
    sendDelay.recordValue(toRecordedMicros(elapsedNanos - arrival.offsetNanos()));
  }

  /**
   * Records the outcome of a call.
   *
   * @param arrival the call
   * @param outcome the outcome
   * @param elapsedNanos the current time, measured from the start of the load
   */
  synchronized void recordEnd(Arrival arrival, Outcome outcome, long elapsedNanos) {
    endedCalls++;
    if (outcome == Outcome.ANSWERED) {
      addDeliveredWeight(plan.kinds().get(arrival.kindIndex()).weight(), elapsedNanos);
    }
    if (arrival.offsetNanos() < warmUpNanos) {
      return;
    }
    outcomeCountsByKind[arrival.kindIndex()][outcome.ordinal()]++;
    if (outcome == Outcome.ANSWERED) {
      long latencyMicros = toRecordedMicros(elapsedNanos - arrival.offsetNanos());
      latencyByKind.get(arrival.kindIndex()).recordValue(latencyMicros);
      latencyByWindow
          .get(windowIndex(arrival.offsetNanos(), LoadResult.LATENCY_WINDOW_MILLIS))
          .recordValue(latencyMicros);
    }
  }

  /** Returns the number of ended calls and their latency so far as one line of text. */
  synchronized String formatProgress() {
    Histogram latency = totalLatency();
    return "%,d calls ended, p50 %.1f ms, p99 %.1f ms"
        .formatted(
            endedCalls,
            LoadResult.divideBy1000(latency.getValueAtPercentile(50)),
            LoadResult.divideBy1000(latency.getValueAtPercentile(99)));
  }

  /** Returns the result of the load with the given events. */
  synchronized LoadResult toResult(List<LoadResult.EventResult> events) {
    List<LoadResult.KindResult> kindResults = new ArrayList<>();
    for (int i = 0; i < latencyByKind.size(); i++) {
      kindResults.add(
          new LoadResult.KindResult(
              plan.kinds().get(i).name(),
              LoadResult.Latency.of(latencyByKind.get(i)),
              LoadResult.Outcomes.of(outcomeCountsByKind[i])));
    }
    long[] outcomeTotals = new long[Outcome.values().length];
    for (long[] kindCounts : outcomeCountsByKind) {
      for (int i = 0; i < outcomeTotals.length; i++) {
        outcomeTotals[i] += kindCounts[i];
      }
    }
    return new LoadResult(
        plan.seed(),
        plan.callsPerSecond(),
        plan.durationMillis(),
        LoadResult.Latency.of(totalLatency()),
        LoadResult.Outcomes.of(outcomeTotals),
        offeredWeight,
        kindResults,
        LoadResult.Latency.of(sendDelay),
        List.copyOf(
            java.util.Arrays.stream(deliveredWeightByWindow)
                .limit(deliveredWeightByWindow.length - 1L)
                .boxed()
                .toList()),
        latencyByWindow.stream().map(LoadResult.Latency::of).toList(),
        events);
  }

  private void addDeliveredWeight(int weight, long elapsedNanos) {
    int window = windowIndex(elapsedNanos, LoadResult.WEIGHT_WINDOW_MILLIS);
    if (elapsedNanos >= warmUpNanos && window < deliveredWeightByWindow.length) {
      deliveredWeightByWindow[window] += weight;
    }
  }

  private int windowIndex(long elapsedNanos, long windowMillis) {
    return (int) (TimeUnit.NANOSECONDS.toMillis(elapsedNanos - warmUpNanos) / windowMillis);
  }

  private Histogram totalLatency() {
    Histogram total = new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    latencyByKind.forEach(total::add);
    return total;
  }

  private static long toRecordedMicros(long nanos) {
    return Math.clamp(TimeUnit.NANOSECONDS.toMicros(nanos), 0, MAX_RECORDED_MICROS);
  }
}
