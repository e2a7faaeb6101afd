package org.radishpost.bench;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What a load has measured; immutable.
 *
 * @param seed the seed of the plan
 * @param callsPerSecond the mean rate of arrivals
 * @param durationMillis the time that was counted
 * @param latency the latency of all answered calls
 * @param outcomes the outcomes of all calls
 * @param offeredWeight the weight of all calls that were sent
 * @param kinds the same for each kind
 * @param lateness how much later than intended the driver sent
 * @param weights the weight delivered in each window of {@link #WEIGHT_WINDOW_MILLIS}
 * @param windows the latency in each window of {@link #LATENCY_WINDOW_MILLIS}
 * @param events what happened meanwhile
 */
public record LoadResult(
    long seed,
    double callsPerSecond,
    long durationMillis,
    Latency latency,
    Outcomes outcomes,
    long offeredWeight,
    List<KindResult> kinds,
    Latency lateness,
    List<Long> weights,
    List<Latency> windows,
    List<EventResult> events) {
  /** The length of a window of delivered weight. */
  public static final long WEIGHT_WINDOW_MILLIS = 100;

  /** The length of a window of latency. */
  public static final long LATENCY_WINDOW_MILLIS = 500;

  private static final double THOUSAND = 1_000;

  /** Copies the lists. */
  public LoadResult {
    kinds = List.copyOf(kinds);
    weights = List.copyOf(weights);
    windows = List.copyOf(windows);
    events = List.copyOf(events);
  }

  /** Returns the weight delivered within the measured time. */
  public long deliveredWeight() {
    return weights.stream().mapToLong(Long::longValue).sum();
  }

  static double divideBy1000(long value) {
    return value / THOUSAND;
  }

  /**
   * Percentiles of a latency.
   *
   * @param count the calls
   * @param p50Millis half of the calls took at most this
   * @param p99Millis 99 of 100 calls took at most this
   * @param p999Millis 999 of 1,000 calls took at most this
   * @param maxMillis the longest
   */
  public record Latency(
      long count, double p50Millis, double p99Millis, double p999Millis, double maxMillis) {
    static Latency of(Histogram latencyMicros) {
      return new Latency(
          latencyMicros.getTotalCount(),
          divideBy1000(latencyMicros.getValueAtPercentile(50)),
          divideBy1000(latencyMicros.getValueAtPercentile(99)),
          divideBy1000(latencyMicros.getValueAtPercentile(99.9)),
          divideBy1000(latencyMicros.getMaxValue()));
    }
  }

  /**
   * Counts of calls by {@link Outcome}.
   *
   * @param answered whole answers
   * @param notRun refusals that say not run
   * @param unknown refusals and errors that leave it open
   * @param cut answers that ended early
   * @param timeout no answer in time
   * @param notSent calls that the driver had to leave out
   */
  public record Outcomes(
      long answered, long notRun, long unknown, long cut, long timeout, long notSent) {
    static Outcomes of(long[] counts) {
      return new Outcomes(counts[0], counts[1], counts[2], counts[3], counts[4], counts[5]);
    }

    /** Returns all calls. */
    public long total() {
      return answered + notRun + unknown + cut + timeout + notSent;
    }
  }

  /**
   * The figures of one kind.
   *
   * @param name the kind
   * @param latency the latency of its answered calls
   * @param outcomes its outcomes
   */
  public record KindResult(String name, Latency latency, Outcomes outcomes) {}

  /**
   * A scripted event.
   *
   * @param atMillis when it was asked for, from the end of the warm-up
   * @param label what it was
   * @param result the status of the answer, or the error
   */
  public record EventResult(long atMillis, String label, String result) {}
}
