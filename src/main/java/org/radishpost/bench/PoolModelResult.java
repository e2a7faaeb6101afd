package org.radishpost.bench;

import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * One line of the table of {@link PoolModel}.
 *
 * @param variant how calls were spread
 * @param meanServiceMillis the mean time of a call on a target that is not slowed
 * @param loadPercent the offered load in percent of the capacity left by the slowing
 * @param p50Millis the median of the calls answered in time
 * @param p99Millis their 99th percentile
 * @param p999Millis their 99.9th percentile
 * @param deliveredPercent the weight answered in time, in percent of the weight offered
 */
public record PoolModelResult(
    PoolVariant variant,
    int meanServiceMillis,
    int loadPercent,
    double p50Millis,
    double p99Millis,
    double p999Millis,
    double deliveredPercent) {
  /** Returns the line with the median of each figure over several runs of one setting. */
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
