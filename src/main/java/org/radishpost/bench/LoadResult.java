package org.radishpost.bench;

import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * The result of a load. Immutable.
 *
 * @param seed the seed of the plan
 * @param callsPerSecond the mean arrival rate of the plan
 * @param durationMillis the duration of the measurement, without the warm-up
 * @param latency the latency of all answered calls
 * @param outcomes the outcomes of all calls
 * @param offeredWeight the weight of all calls, including those that the driver did not send
 * @param kinds the latency and outcomes of each kind of call
 * @param lateness the delay of the driver between the scheduled and the actual send time of a call
 * @param weights the weight delivered in each window of {@link #WEIGHT_WINDOW_MILLIS}
 * @param windows the latency of the calls scheduled in each window of {@link
 *     #LATENCY_WINDOW_MILLIS}
 * @param events the events during the load
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
  /** The length of the windows in {@link #weights}. */
  public static final long WEIGHT_WINDOW_MILLIS = 100;

  /** The length of the windows in {@link #windows}. */
  public static final long LATENCY_WINDOW_MILLIS = 500;

  private static final double THOUSAND = 1_000;

  /** Copies the lists. */
  public LoadResult {
    kinds = List.copyOf(kinds);
    weights = List.copyOf(weights);
    windows = List.copyOf(windows);
    events = List.copyOf(events);
  }

  /** Returns the weight delivered during the measurement. */
  public long deliveredWeight() {
    return weights.stream().mapToLong(Long::longValue).sum();
  }

  /** Converts microseconds to milliseconds, or milliseconds to seconds. */
  static double divideBy1000(long value) {
    return value / THOUSAND;
  }

  /**
   * Percentiles of a set of durations.
   *
   * @param count the number of durations
   * @param p50Millis the median
   * @param p99Millis the 99th percentile
   * @param p999Millis the 99.9th percentile
   * @param maxMillis the maximum
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
   * The number of calls with each {@link Outcome}.
   *
   * @param answered the calls with {@link Outcome#ANSWERED}
   * @param notRun the calls with {@link Outcome#NOT_RUN}
   * @param unknown the calls with {@link Outcome#UNKNOWN}
   * @param cut the calls with {@link Outcome#CUT}
   * @param timeout the calls with {@link Outcome#TIMEOUT}
   * @param notSent the calls with {@link Outcome#NOT_SENT}
   */
  public record Outcomes(
      long answered, long notRun, long unknown, long cut, long timeout, long notSent) {
    static Outcomes of(long[] counts) {
      return new Outcomes(counts[0], counts[1], counts[2], counts[3], counts[4], counts[5]);
    }

    /** Returns the number of calls with any outcome. */
    public long total() {
      return answered + notRun + unknown + cut + timeout + notSent;
    }
  }

  /**
   * The result of one kind of call.
   *
   * @param name the name of the kind
   * @param latency the latency of its answered calls
   * @param outcomes the outcomes of its calls
   */
  public record KindResult(String name, Latency latency, Outcomes outcomes) {}

  /**
   * An event that occurred during the load.
   *
   * @param atMillis the time when the event completed, measured from the end of the warm-up
   * @param label the label of the event
   * @param result the status code of the response or an error message
   */
  public record EventResult(long atMillis, String label, String result) {}
}
