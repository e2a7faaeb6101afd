package org.radishpost.http;

import java.time.Duration;

/**
 * Tells whether a sender is too slow: a head must be whole within the limit, and a body may not
 * pause for longer while its bytes are wanted.
 *
 * <p>One for each connection, used by its thread. Times are in nanoseconds of a monotonic clock.
 */
final class SenderPace {
  private final long limitNanos;
  private boolean head;
  private boolean body;
  private boolean wanted;
  private long headSince;
  private long wantedSince;

  SenderPace(Duration limit) {
    this.limitNanos = limit.toNanos();
  }

  /** The connection wants bytes. */
  void wanted(long nowNanos) {
    if (!wanted) {
      wanted = true;
      wantedSince = nowNanos;
    }
  }

  /** Bytes came, after which a request's head or body is unfinished, or neither. */
  void came(boolean inHead, boolean inBody, long nowNanos) {
    wanted = false;
    if (inHead && !head) {
      headSince = nowNanos;
    }
    head = inHead;
    body = inBody;
  }

  /** Returns how long the sender still has; none or less when it is too slow. */
  long leftNanos(long nowNanos) {
    if (head) {
      return headSince + limitNanos - nowNanos;
    }
    return body && wanted ? wantedSince + limitNanos - nowNanos : limitNanos;
  }
}
