package org.radishpost.link;

import java.util.random.RandomGenerator;

/** When a peer that could not be reached is tried again; not thread-safe. */
final class Backoff {
  private final long firstNanos;
  private final long mostNanos;
  private final RandomGenerator random;
  private long waitNanos;
  private long notBeforeNanos;
  private boolean failed;

  Backoff(LinkOptions options, RandomGenerator random) {
    this.firstNanos = options.reconnectFirst().toNanos();
    this.mostNanos = options.reconnectMost().toNanos();
    this.random = random;
  }

  /** Tells whether a try may start. */
  boolean mayTry(long nowNanos) {
    return !failed || nowNanos - notBeforeNanos >= 0;
  }

  /** Notes that a try has failed: the next waits for half to all of a time that doubles. */
  void failed(long nowNanos) {
    waitNanos = failed ? Math.min(2 * waitNanos, mostNanos) : firstNanos;
    failed = true;
    notBeforeNanos = nowNanos + waitNanos / 2 + random.nextLong(waitNanos / 2 + 1);
  }

  /** Notes that a try has succeeded. */
  void succeeded() {
    failed = false;
  }
}
