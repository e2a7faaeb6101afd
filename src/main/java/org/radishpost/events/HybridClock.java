package org.radishpost.events;

import java.util.function.LongSupplier;

/**
 * Gives stamps that keep the causal order of events over all VMs.
 *
 * <p>Every message between VMs carries a stamp, which the receiver merges; so the events that
 * follow a message are stamped later than those before it. Thread-safe.
 */
public final class HybridClock {
  /** A stamp further ahead than this is not merged, so that one wrong clock misleads nobody. */
  public static final long MAX_SKEW_MILLIS = 60_000;

  private final LongSupplier wallMillis;
  private EventTimestamp last = new EventTimestamp(0, 0);

  /** Creates a clock over the given wall clock, in milliseconds since 1970. */
  public HybridClock(LongSupplier wallMillis) {
    this.wallMillis = wallMillis;
  }

  /** Returns a stamp later than every one given out or merged before. */
  public synchronized EventTimestamp next() {
    long now = wallMillis.getAsLong();
    last =
        now > last.millis()
            ? new EventTimestamp(now, 0)
            : new EventTimestamp(last.millis(), last.counter() + 1);
    return last;
  }

  /** Takes the stamp of a message that was received. */
  public synchronized void merge(EventTimestamp received) {
    boolean withinSkew = received.millis() <= wallMillis.getAsLong() + MAX_SKEW_MILLIS;
    if (withinSkew && received.compareTo(last) > 0) {
      last = received;
    }
  }
}
