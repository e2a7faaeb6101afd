package org.radishpost.http;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.radishpost.pool.LoadReport;

/**
 * Formats and parses a load report of a target, as sent in a response header field and by the load
 * endpoint.
 *
 * <p>The format is {@code running=1, slots=2, warm=100, incarnation=abc, draining=0}, with the
 * parts in any order.
 */
public final class LoadReportHeader {
  /** The name of the header field. */
  public static final String NAME = "Radishpost-Load";

  private static final int MAX_CHARS = 300;
  private static final int MAX_INCARNATION_CHARS = 100;
  private static final int MAX_CALL_COUNT = 1_000_000;
  private static final int MAX_WARM_PERCENT = 100;

  private LoadReportHeader() {}

  /** Returns the text of a load report. */
  public static String format(LoadReport report) {
    return "running="
        + report.running()
        + ", slots="
        + report.slots()
        + ", warm="
        + report.warmPercent()
        + ", incarnation="
        + report.incarnation()
        + ", draining="
        + (report.draining() ? 1 : 0);
  }

  /** Returns the load report, or empty if the text is malformed or a value is out of range. */
  public static Optional<LoadReport> parse(String text) {
    if (text == null || text.length() > MAX_CHARS) {
      return Optional.empty();
    }
    Map<String, String> values = new HashMap<>();
    for (String part : text.split(",")) {
      int equals = part.indexOf('=');
      if (equals < 0) {
        return Optional.empty();
      }
      values.put(part.substring(0, equals).strip(), part.substring(equals + 1).strip());
    }
    return toReport(values);
  }

  private static Optional<LoadReport> toReport(Map<String, String> values) {
    int running = parseNumber(values.get("running"), MAX_CALL_COUNT);
    int slots = parseNumber(values.get("slots"), MAX_CALL_COUNT);
    int warm = parseNumber(values.get("warm"), MAX_WARM_PERCENT);
    int draining = parseNumber(values.get("draining"), 1);
    String incarnation = values.getOrDefault("incarnation", "");
    if (running < 0 || slots < 0 || warm < 0 || draining < 0) {
      return Optional.empty();
    }
    if (incarnation.isEmpty() || incarnation.length() > MAX_INCARNATION_CHARS) {
      return Optional.empty();
    }
    return Optional.of(new LoadReport(running, slots, warm, incarnation, draining == 1));
  }

  private static int parseNumber(String text, int max) {
    if (text == null || !text.matches("\\d{1,7}")) {
      return -1;
    }
    int value = Integer.parseInt(text);
    return value <= max ? value : -1;
  }
}
