package org.radishpost.http;

import java.util.Optional;
import org.radishpost.lib.PoolId;
import org.radishpost.pool.PoolView;

/**
 * Formats and parses the state of a pool as a header field value: six integers separated by spaces.
 */
public final class PoolViewHeader {
  private static final int PART_COUNT = 6;

  private PoolViewHeader() {}

  /** Returns the field value for the state of a pool. */
  public static String format(PoolView view) {
    return view.slots()
        + " "
        + view.running()
        + " "
        + view.queued()
        + " "
        + view.waitNanos()
        + " "
        + view.serviceNanos()
        + " "
        + view.configVersion();
  }

  /** Parses a field value. Returns empty if it is missing or malformed. */
  public static Optional<PoolView> parse(PoolId pool, String text) {
    if (text == null) {
      return Optional.empty();
    }
    String[] parts = text.split(" ");
    if (parts.length != PART_COUNT) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new PoolView(
              pool,
              Integer.parseInt(parts[0]),
              Integer.parseInt(parts[1]),
              Integer.parseInt(parts[2]),
              Long.parseLong(parts[3]),
              Long.parseLong(parts[4]),
              Long.parseLong(parts[5])));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }
}
