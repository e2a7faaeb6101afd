package org.radishpost.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.util.Locale;

/** Formats a {@link LoadResult} as a text table or as JSON. Thread-safe. */
public final class BenchReport {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();
  private static final String TABLE_HEADER =
      "%-26s %9s %9s %9s %9s %9s %8s %8s %6s %8s %8s%n"
          .formatted(
              "kind",
              "calls",
              "p50 ms",
              "p99 ms",
              "p99.9 ms",
              "answered",
              "not run",
              "unknown",
              "cut",
              "timeout",
              "not sent");

  private BenchReport() {}

  /** Returns a text table with one row for each kind of call, followed by a summary. */
  public static String formatTable(LoadResult result) {
    StringBuilder text = new StringBuilder(TABLE_HEADER);
    result
        .kinds()
        .forEach(kind -> text.append(formatRow(kind.name(), kind.latency(), kind.outcomes())));
    text.append(formatRow("all", result.latency(), result.outcomes()));
    text.append(
        String.format(
            Locale.ROOT,
            "seed %d, %.0f calls/s offered for %.1f s, weight delivered %d of %d (%.2f %%)%n",
            result.seed(),
            result.callsPerSecond(),
            LoadResult.divideBy1000(result.durationMillis()),
            result.deliveredWeight(),
            result.offeredWeight(),
            percent(result.deliveredWeight(), result.offeredWeight())));
    text.append(
        String.format(
            Locale.ROOT,
            "driver sent late by p50 %.2f ms, p99 %.2f ms, max %.1f ms%n",
            result.lateness().p50Millis(),
            result.lateness().p99Millis(),
            result.lateness().maxMillis()));
    for (LoadResult.EventResult event : result.events()) {
      text.append(
          String.format(
              Locale.ROOT,
              "event at %.1f s: %s -> %s%n",
              LoadResult.divideBy1000(event.atMillis()),
              event.label(),
              event.result()));
    }
    return text.toString();
  }

  /** Returns the result as JSON. */
  public static byte[] toJson(LoadResult result) {
    try {
      return MAPPER.writeValueAsBytes(result);
    } catch (IOException e) {
      throw new IllegalStateException("cannot write the load result as JSON", e);
    }
  }

  private static String formatRow(
      String name, LoadResult.Latency latency, LoadResult.Outcomes outcomes) {
    return String.format(
        Locale.ROOT,
        "%-26s %9d %9.1f %9.1f %9.1f %9d %8d %8d %6d %8d %8d%n",
        name,
        outcomes.total(),
        latency.p50Millis(),
        latency.p99Millis(),
        latency.p999Millis(),
        outcomes.answered(),
        outcomes.notRun(),
        outcomes.unknown(),
        outcomes.cut(),
        outcomes.timeout(),
        outcomes.notSent());
  }

  private static double percent(long part, long total) {
    return total == 0 ? 0 : 100.0 * part / total;
  }
}
