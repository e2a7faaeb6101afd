package org.radishpost.bench;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * The result of one run of {@link LocalityModel}.
 *
 * @param p50Millis the median latency of the answered calls
 * @param p99Millis the 99th percentile of their latency
 * @param crossRegionPercent the attempts sent to another region, as a percentage of the calls
 * @param refusedPercent the refused calls, as a percentage of the calls
 */
public record LocalityModelResult(
    double p50Millis, double p99Millis, double crossRegionPercent, double refusedPercent) {
  /** Returns the median of each metric over several runs. */
  public static LocalityModelResult median(List<LocalityModelResult> runs) {
    return new LocalityModelResult(
        median(runs, LocalityModelResult::p50Millis),
        median(runs, LocalityModelResult::p99Millis),
        median(runs, LocalityModelResult::crossRegionPercent),
        median(runs, LocalityModelResult::refusedPercent));
  }

  private static double median(
      List<LocalityModelResult> runs, ToDoubleFunction<LocalityModelResult> metric) {
    double[] values = runs.stream().mapToDouble(metric).toArray();
    Arrays.sort(values);
    return values[values.length / 2];
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT,
        "p50 %6.1f ms, p99 %6.1f ms, to other regions %4.1f %%, refused %4.2f %%",
        p50Millis,
        p99Millis,
        crossRegionPercent,
        refusedPercent);
  }
}
