package org.radishpost.http;

import java.util.Optional;
import org.radishpost.lib.PoolId;
import org.radishpost.pool.PoolView;

/** The form in which a pool's view travels with an answer: six numbers with blanks between. */
public final class PoolViewHeader {
  private static final int PART_COUNT = 6;

  private PoolViewHeader() {}

  /** Returns the text for a view. */
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

  /** Reads a text; empty when there is none or it has another form. */
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
