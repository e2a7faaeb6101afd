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
  public static final long MAX_AHEAD_MILLIS = 60_000;

  private final LongSupplier wallMillis;
  private EventStamp last = new EventStamp(0, 0);

  /** Creates a clock over the given wall clock, in milliseconds since 1970. */
  public HybridClock(LongSupplier wallMillis) {
    this.wallMillis = wallMillis;
  }

  /** Returns a stamp later than every one given out or merged before. */
  public synchronized EventStamp next() {
    long now = wallMillis.getAsLong();
    last =
        now > last.millis()
            ? new EventStamp(now, 0)
            : new EventStamp(last.millis(), last.count() + 1);
    return last;
  }

  /** Takes the stamp of a message that was received. */
  public synchronized void merge(EventStamp heard) {
    boolean plausible = heard.millis() <= wallMillis.getAsLong() + MAX_AHEAD_MILLIS;
    if (plausible && heard.compareTo(last) > 0) {
      last = heard;
    }
  }
}
