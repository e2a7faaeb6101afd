package org.radishpost.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Reads the counters of surplus and cut responses from entry processes.
 *
 * <p>A process that ends loses its counters, so the last sample of each process counts. What a
 * process counts between its last sample and its end is missing.
 */
final class MetricsSampler {
  private static final int TIMEOUT_MILLIS = 500;
  private static final List<String> PREFIXES =
      List.of("radishpost_responses_surplus", "radishpost_responses_cut");

  /** The last sample of each process, by its log file. */
  private final Map<String, Map<String, Long>> samples = new ConcurrentHashMap<>();

  /** Samples an entry; does nothing if it does not respond. */
  void sample(EntryProcess entry) {
    String process = entry.logFile().toString();
    try {
      samples.put(process, parse(read(entry)));
    } catch (IOException e) {
      // The process is down or paused: its last sample remains.
    }
  }

  /** Returns the sum over all processes of each counter. */
  Map<String, Long> totals() {
    Map<String, Long> totals = new TreeMap<>();
    samples
        .values()
        .forEach(sample -> sample.forEach((name, n) -> totals.merge(name, n, Long::sum)));
    return totals;
  }

  private static String read(EntryProcess entry) throws IOException {
    URI uri = URI.create("http://" + entry.metricsAddress() + "/metrics");
    HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
    connection.setConnectTimeout(TIMEOUT_MILLIS);
    connection.setReadTimeout(TIMEOUT_MILLIS);
    try (InputStream in = connection.getInputStream()) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } finally {
      connection.disconnect();
    }
  }

  private static Map<String, Long> parse(String metrics) {
    Map<String, Long> counters = new TreeMap<>();
    metrics
        .lines()
        .filter(line -> PREFIXES.stream().anyMatch(line::startsWith))
        .map(line -> line.split(" "))
        .forEach(words -> counters.put(words[0], (long) Double.parseDouble(words[1])));
    return counters;
  }
}
