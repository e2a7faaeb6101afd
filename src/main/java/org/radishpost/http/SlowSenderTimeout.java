package org.radishpost.http;

import java.time.Duration;

/**
 * Tells whether a sender is too slow: a head must be whole within the limit, and a body may not
 * pause for longer while its bytes are wanted.
 *
 * <p>One for each connection, used by its thread. Times are in nanoseconds of a monotonic clock.
 */
final class SlowSenderTimeout {
  private final long timeoutNanos;
  private boolean readingHead;
  private boolean readingBody;
  private boolean readPending;
  private long headStartNanos;
  private long readStartNanos;

  SlowSenderTimeout(Duration timeout) {
    this.timeoutNanos = timeout.toNanos();
  }

  /** The connection wants bytes. */
  void onReadRequested(long nowNanos) {
    if (!readPending) {
      readPending = true;
      readStartNanos = nowNanos;
    }
  }

  /** Bytes came, after which a request's head or body is unfinished, or neither. */
  void onBytesReceived(boolean inHead, boolean inBody, long nowNanos) {
    readPending = false;
    if (inHead && !readingHead) {
      headStartNanos = nowNanos;
    }
    readingHead = inHead;
    readingBody = inBody;
  }

  /** Returns how long the sender still has; none or less when it is too slow. */
  long remainingNanos(long nowNanos) {
    if (readingHead) {
      return headStartNanos + timeoutNanos - nowNanos;
    }
    return readingBody && readPending ? readStartNanos + timeoutNanos - nowNanos : timeoutNanos;
  }
}
