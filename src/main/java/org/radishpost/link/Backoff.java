package org.radishpost.link;

import java.util.random.RandomGenerator;

/** When a peer that could not be reached is tried again; not thread-safe. */
final class Backoff {
  private final long initialDelayNanos;
  private final long maxDelayNanos;
  private final RandomGenerator random;
  private long delayNanos;
  private long nextAttemptNanos;
  private boolean lastAttemptFailed;

  Backoff(LinkOptions options, RandomGenerator random) {
    this.initialDelayNanos = options.initialReconnectDelay().toNanos();
    this.maxDelayNanos = options.maxReconnectDelay().toNanos();
    this.random = random;
  }

  /** Tells whether a try may start. */
  boolean mayConnect(long nowNanos) {
    return !lastAttemptFailed || nowNanos - nextAttemptNanos >= 0;
  }

  /** Notes that a try has failed: the next waits for half to all of a time that doubles. */
  void recordFailure(long nowNanos) {
    delayNanos = lastAttemptFailed ? Math.min(2 * delayNanos, maxDelayNanos) : initialDelayNanos;
    lastAttemptFailed = true;
    nextAttemptNanos = nowNanos + delayNanos / 2 + random.nextLong(delayNanos / 2 + 1);
  }

  /** Notes that a try has succeeded. */
  void reset() {
    lastAttemptFailed = false;
  }
}
