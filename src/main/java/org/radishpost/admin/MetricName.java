package org.radishpost.admin;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The name of a metric with its labels, written {@code name;label=value;label=value}.
 *
 * @param name the name, with words separated by dots
 * @param labels the values of the labels by label name
 */
record MetricName(String name, Map<String, String> labels) {
  MetricName {
    labels = Map.copyOf(labels);
  }

  static MetricName parse(String text) {
    String[] parts = text.split(";", -1);
    Map<String, String> labels = new TreeMap<>();
    for (int i = 1; i < parts.length; i++) {
      int equals = parts[i].indexOf('=');
      if (equals > 0) {
        labels.put(parts[i].substring(0, equals), parts[i].substring(equals + 1));
      }
    }
    return new MetricName(parts[0], labels);
  }

  /** Returns the name with underscores for all characters that Prometheus does not allow. */
  String prometheusName() {
    return sanitize(name);
  }

  /** Returns the labels in Prometheus text format, without braces. */
  String prometheusLabels() {
    return new TreeMap<>(labels)
        .entrySet().stream()
            .map(label -> sanitize(label.getKey()) + "=\"" + escape(label.getValue()) + "\"")
            .collect(Collectors.joining(","));
  }

  private static String sanitize(String text) {
    String sanitized = text.replaceAll("[^A-Za-z0-9_]", "_");
    return Character.isDigit(sanitized.charAt(0)) ? "_" + sanitized : sanitized;
  }

  private static String escape(String value) {
    return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
  }
}
