package org.radishpost.admin;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.TreeMap;

/** Writes metrics as JSON. */
final class MetricsJson {
  private MetricsJson() {}

  static ObjectNode of(MetricRegistry registry) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    ObjectNode gauges = node.putObject("gauges");
    registry.getGauges().forEach((name, gauge) -> gauges.putPOJO(name, gauge.getValue()));
    ObjectNode counters = node.putObject("counters");
    new TreeMap<>(registry.getMetrics())
        .forEach(
            (name, metric) -> {
              if (metric instanceof Counting counting && !(metric instanceof Sampling)) {
                counters.put(name, counting.getCount());
              }
            });
    ObjectNode histograms = node.putObject("histograms");
    registry
        .getHistograms()
        .forEach((name, histogram) -> write(histogram, histograms.putObject(name)));
    ObjectNode timers = node.putObject("timers");
    registry.getTimers().forEach((name, timer) -> write(timer, timers.putObject(name)));
    return node;
  }

  private static void write(Histogram histogram, ObjectNode node) {
    node.put("count", histogram.getCount());
    write(histogram.getSnapshot(), node);
  }

  private static void write(Timer timer, ObjectNode node) {
    node.put("count", timer.getCount());
    write(timer.getSnapshot(), node);
  }

  private static void write(Snapshot snapshot, ObjectNode node) {
    node.put("mean", snapshot.getMean());
    node.put("p50", snapshot.getMedian());
    node.put("p99", snapshot.get99thPercentile());
    node.put("p999", snapshot.get999thPercentile());
    node.put("max", snapshot.getMax());
  }
}
