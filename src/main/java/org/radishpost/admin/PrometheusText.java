package org.radishpost.admin;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.TreeMap;

/**
 * Writes metrics in the Prometheus text format.
 *
 * <p>A metric's name may end in labels: {@code calls;outcome=answered}. Counters and meters become
 * counters, numeric gauges become gauges, and histograms and timers become summaries. The unit of a
 * summary is part of its name.
 */
public final class PrometheusText {
  private static final String PREFIX = "radishpost_";
  private static final double[] QUANTILES = {0.5, 0.99, 0.999};

  private PrometheusText() {}

  /** Returns all metrics of the registry in Prometheus text format. */
  public static String of(MetricRegistry registry) {
    Map<String, StringBuilder> families = new TreeMap<>();
    new TreeMap<>(registry.getMetrics())
        .forEach((name, metric) -> write(MetricName.parse(name), metric, families));
    StringBuilder text = new StringBuilder();
    families.values().forEach(text::append);
    return text.toString();
  }

  private static void write(MetricName name, Metric metric, Map<String, StringBuilder> families) {
    switch (metric) {
      case Gauge<?> gauge when gauge.getValue() instanceof Number number ->
          appendSample(family(name, "", "gauge", families), name, "", "", number.doubleValue());
      case Sampling sampling -> summary(name, sampling, families);
      case Counting counting -> counter(name, counting, families);
      default -> {}
    }
  }

  private static void counter(
      MetricName name, Counting counter, Map<String, StringBuilder> families) {
    StringBuilder family = family(name, "_total", "counter", families);
    appendSample(family, name, "_total", "", counter.getCount());
  }

  private static void summary(
      MetricName name, Sampling sampling, Map<String, StringBuilder> families) {
    StringBuilder family = family(name, "", "summary", families);
    Snapshot snapshot = sampling.getSnapshot();
    for (double quantile : QUANTILES) {
      appendSample(family, name, "", "quantile=\"" + quantile + "\"", snapshot.getValue(quantile));
    }
    if (sampling instanceof Counting counting) {
      appendSample(family, name, "_count", "", counting.getCount());
    }
  }

  private static StringBuilder family(
      MetricName name, String suffix, String type, Map<String, StringBuilder> families) {
    String familyName = PREFIX + name.prometheusName() + suffix;
    return families.computeIfAbsent(
        familyName, unused -> new StringBuilder("# TYPE " + familyName + " " + type + "\n"));
  }

  private static void appendSample(
      StringBuilder family, MetricName name, String suffix, String extraLabel, double value) {
    String labels = name.prometheusLabels();
    String allLabels =
        labels.isEmpty() || extraLabel.isEmpty() ? labels + extraLabel : labels + "," + extraLabel;
    family.append(PREFIX).append(name.prometheusName()).append(suffix);
    if (!allLabels.isEmpty()) {
      family.append('{').append(allLabels).append('}');
    }
    family.append(' ').append(format(value)).append('\n');
  }

  private static String format(double value) {
    if (Double.isInfinite(value)) {
      return value > 0 ? "+Inf" : "-Inf";
    }
    boolean isInteger = value == Math.rint(value) && Math.abs(value) < 1e15;
    return isInteger ? String.valueOf((long) value) : String.valueOf(value);
  }
}
