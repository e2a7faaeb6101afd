package org.radishpost.bench;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * The result of one setting of {@link PoolModel}.
 *
 * @param variant the balancing policy and pool limits
 * @param meanServiceMillis the mean service time of a target that is not slowed down
 * @param loadPercent the offered load as a percentage of the capacity, which takes slow periods of
 *     the targets into account
 * @param p50Millis the median latency of the calls answered before their deadline
 * @param p99Millis the 99th percentile of their latency
 * @param p999Millis the 99.9th percentile of their latency
 * @param deliveredPercent the weight of the calls answered before their deadline, as a percentage
 *     of the offered weight
 */
public record PoolModelResult(
    PoolVariant variant,
    int meanServiceMillis,
    int loadPercent,
    double p50Millis,
    double p99Millis,
    double p999Millis,
    double deliveredPercent) {
  /** Returns the median of each metric over several runs of one setting. */
  static PoolModelResult median(List<PoolModelResult> runs) {
    PoolModelResult any = runs.getFirst();
    return new PoolModelResult(
        any.variant,
        any.meanServiceMillis,
        any.loadPercent,
        median(runs, PoolModelResult::p50Millis),
        median(runs, PoolModelResult::p99Millis),
        median(runs, PoolModelResult::p999Millis),
        median(runs, PoolModelResult::deliveredPercent));
  }

  private static double median(
      List<PoolModelResult> runs, ToDoubleFunction<PoolModelResult> metric) {
    double[] sorted = runs.stream().mapToDouble(metric).sorted().toArray();
    return sorted[sorted.length / 2];
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "| %-14s | %4d | %4d | %8.2f | %8.2f | %8.2f | %7.2f |",
        variant,
        meanServiceMillis,
        loadPercent,
        p50Millis,
        p99Millis,
        p999Millis,
        deliveredPercent);
  }
}
