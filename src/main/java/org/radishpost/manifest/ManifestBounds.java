package org.radishpost.manifest;

import org.radishpost.lib.StrictJson;

/** The limits on the contents of a manifest. */
public final class ManifestBounds {
  /** Maximum size of the JSON form, in bytes. */
  public static final int MAX_DOCUMENT_BYTES = 4 * 1024 * 1024;

  /** Maximum length of a string, in characters. */
  public static final int MAX_TEXT_CHARS = 512;

  /** Maximum length of a route name, in characters. */
  public static final int MAX_NAME_CHARS = 100;

  /** Maximum length of a host name, in characters. */
  public static final int MAX_HOST_CHARS = 253;

  /** Maximum number of segments in a path prefix. */
  public static final int MAX_PATH_SEGMENTS = 32;

  /** Minimum ratio of the probe interval to the cost of a probe. */
  public static final int MIN_PROBE_INTERVAL_TO_COST = 10;

  /** Maximum number of targets of all services of a gateway together. */
  public static final int MAX_TARGETS = 16_000;

  static final int MAX_DEPTH = 8;
  static final int MAX_TOKENS = 400_000;
  static final StrictJson.Bounds DOCUMENT =
      new StrictJson.Bounds(MAX_DOCUMENT_BYTES, MAX_DEPTH, MAX_TEXT_CHARS, MAX_TOKENS);

  static final Range BASE_VERSION = new Range(0, Long.MAX_VALUE, "");
  static final Range SERVICES = new Range(1, 512, "services");
  static final Range ROUTES = new Range(1, 1_000, "routes");
  static final Range TARGETS = new Range(1, MAX_TARGETS, "targets");
  static final Range METHODS = new Range(1, 7, "methods");
  static final Range HOME_REGIONS = new Range(0, 16, "regions");
  static final Range PORT = new Range(1, 65_535, "");
  static final Range SLOTS = new Range(1, 1_024, "calls");
  static final Range CONNECTIONS = new Range(1, 10_000, "connections");
  static final Range COLD_CALLS = new Range(2, 1_024, "calls");
  static final Range COLD_CALLS_PER_SECOND = new Range(2, 100_000, "calls per second");
  static final Range RAMP_MILLIS = new Range(1, 3_600_000, "ms");
  static final Range PROBE_COST_MILLIS = new Range(0, 10_000, "ms");
  static final Range PROBE_INTERVAL_MILLIS = new Range(100, 3_600_000, "ms");
  static final Range EJECT_PERCENT = new Range(0, 100, "percent");
  static final Range WEIGHT = new Range(1, 1_000, "");
  static final Range DEADLINE_MILLIS = new Range(1, 3_600_000, "ms");
  static final Range BODY_BYTES = new Range(0, 10L * 1024 * 1024 * 1024, "bytes");

  private ManifestBounds() {}

  /**
   * A range of valid numbers.
   *
   * @param min the smallest valid number
   * @param max the largest valid number
   * @param unit the unit of the numbers for fault messages, or empty
   */
  record Range(long min, long max, String unit) {
    boolean contains(long value) {
      return value >= min && value <= max;
    }

    @Override
    public String toString() {
      return min + " to " + max + (unit.isEmpty() ? "" : " " + unit);
    }
  }
}
