package org.radishpost.events;

import java.util.function.LongSupplier;

/**
 * A hybrid logical clock, whose timestamps preserve the causal order of events across all VMs.
 *
 * <p>Every message between VMs carries a timestamp, which the receiver merges. Events after the
 * receipt of a message therefore have later timestamps than events before its sending. Thread-safe.
 */
public final class HybridClock {
  /**
   * Timestamps further ahead of the wall clock are not merged, which keeps one wrong clock from
   * advancing the clocks of other VMs.
   */
  public static final long MAX_SKEW_MILLIS = 60_000;

  private final LongSupplier wallMillis;
  private EventTimestamp last = new EventTimestamp(0, 0);

  /** Creates a clock that is based on the given wall clock, in milliseconds since 1970. */
  public HybridClock(LongSupplier wallMillis) {
    this.wallMillis = wallMillis;
  }

  /** Returns a timestamp later than every timestamp that was returned or merged before. */
  public synchronized EventTimestamp next() {
    long now = wallMillis.getAsLong();
    last =
        now > last.millis()
            ? new EventTimestamp(now, 0)
            : new EventTimestamp(last.millis(), last.counter() + 1);
    return last;
  }

  /** Merges the timestamp of a received message. */
  public synchronized void merge(EventTimestamp received) {
    boolean withinSkew = received.millis() <= wallMillis.getAsLong() + MAX_SKEW_MILLIS;
    if (withinSkew && received.compareTo(last) > 0) {
      last = received;
    }
  }
}
