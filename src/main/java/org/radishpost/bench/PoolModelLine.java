package org.radishpost.bench;

import java.util.Locale;

/**
 * One line of the table of {@link PoolModel}.
 *
 * @param variant how calls were spread
 * @param meanMillis the mean time of a call on a target that is not slowed
 * @param loadPercent the offered load in percent of the capacity left by the slowing
 * @param p50Millis the median of the calls answered in time
 * @param p99Millis their 99th percentile
 * @param p999Millis their 99.9th percentile
 * @param deliveredPercent the weight answered in time, in percent of the weight offered
 */
public record PoolModelLine(
    PoolVariant variant,
    int meanMillis,
    int loadPercent,
    double p50Millis,
    double p99Millis,
    double p999Millis,
    double deliveredPercent) {
  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "| %-14s | %4d | %4d | %8.2f | %8.2f | %8.2f | %7.2f |",
        variant,
        meanMillis,
        loadPercent,
        p50Millis,
        p99Millis,
        p999Millis,
        deliveredPercent);
  }
}
