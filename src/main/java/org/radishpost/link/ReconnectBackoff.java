package org.radishpost.link;

import java.util.random.RandomGenerator;

/** Exponential backoff with jitter for connecting to one peer; not thread-safe. */
final class ReconnectBackoff {
  private final long initialDelayNanos;
  private final long maxDelayNanos;
  private final RandomGenerator random;
  private long delayNanos;
  private long nextAttemptNanos;
  private boolean lastAttemptFailed;

  ReconnectBackoff(LinkOptions options, RandomGenerator random) {
    this.initialDelayNanos = options.initialReconnectDelay().toNanos();
    this.maxDelayNanos = options.maxReconnectDelay().toNanos();
    this.random = random;
  }

  /** Returns whether a connection attempt may start now. */
  boolean mayConnect(long nowNanos) {
    return !lastAttemptFailed || nowNanos - nextAttemptNanos >= 0;
  }

  /**
   * Records a failed attempt. The delay doubles up to its maximum; the next attempt waits for a
   * random time between half of the delay and all of it.
   */
  void recordFailure(long nowNanos) {
    delayNanos = lastAttemptFailed ? Math.min(2 * delayNanos, maxDelayNanos) : initialDelayNanos;
    lastAttemptFailed = true;
    nextAttemptNanos = nowNanos + delayNanos / 2 + random.nextLong(delayNanos / 2 + 1);
  }

  /** Allows the next attempt immediately and restarts the delays from the initial one. */
  void reset() {
    lastAttemptFailed = false;
  }
}
