package org.radishpost.admin;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.Metered;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Writes metrics as JSON. */
final class MetricsJson {
  private MetricsJson() {}

  static ObjectNode of(MetricRegistry registry) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    ObjectNode gauges = node.putObject("gauges");
    registry.getGauges().forEach((name, gauge) -> gauges.putPOJO(name, gauge.getValue()));
    ObjectNode counters = node.putObject("counters");
    registry.getCounters().forEach((name, counter) -> counters.put(name, counter.getCount()));
    ObjectNode histograms = node.putObject("histograms");
    registry.getHistograms().forEach((name, one) -> write(one, histograms.putObject(name)));
    ObjectNode meters = node.putObject("meters");
    registry.getMeters().forEach((name, meter) -> write(meter, meters.putObject(name)));
    ObjectNode timers = node.putObject("timers");
    registry.getTimers().forEach((name, timer) -> write(timer, timers.putObject(name)));
    return node;
  }

  private static void write(Histogram histogram, ObjectNode node) {
    node.put("count", histogram.getCount());
    write(histogram.getSnapshot(), node);
  }

  private static void write(Metered meter, ObjectNode node) {
    node.put("count", meter.getCount());
    node.put("meanRate", meter.getMeanRate());
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
