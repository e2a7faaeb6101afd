package org.radishpost.admin;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * The name of a metric with its labels, written {@code name;label=value;label=value}.
 *
 * @param name the name, words parted by dots
 * @param values the values of the labels
 */
record MetricName(String name, Map<String, String> values) {
  MetricName {
    values = Map.copyOf(values);
  }

  static MetricName parse(String text) {
    String[] parts = text.split(";", -1);
    Map<String, String> values = new TreeMap<>();
    for (int i = 1; i < parts.length; i++) {
      int equals = parts[i].indexOf('=');
      if (equals > 0) {
        values.put(parts[i].substring(0, equals), parts[i].substring(equals + 1));
      }
    }
    return new MetricName(parts[0], values);
  }

  /** Returns the name with only the characters that Prometheus allows. */
  String prometheus() {
    return allowed(name);
  }

  /** Returns the labels in the form of Prometheus, without braces. */
  String labels() {
    return new TreeMap<>(values)
        .entrySet().stream()
            .map(label -> allowed(label.getKey()) + "=\"" + escaped(label.getValue()) + "\"")
            .collect(Collectors.joining(","));
  }

  private static String allowed(String text) {
    String replaced = text.replaceAll("[^A-Za-z0-9_]", "_");
    return Character.isDigit(replaced.charAt(0)) ? "_" + replaced : replaced;
  }

  private static String escaped(String value) {
    return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
  }
}
