package org.radishpost.http;

import java.time.Duration;

/**
 * Detects slow senders. A request head must be complete within the timeout, and a body must not
 * pause for longer than the timeout while a read is pending.
 *
 * <p>There is one instance per connection, used by the event loop thread of the connection. Times
 * are in nanoseconds of a monotonic clock.
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

  /** Records that a read has been requested. */
  void onReadRequested(long nowNanos) {
    if (!readPending) {
      readPending = true;
      readStartNanos = nowNanos;
    }
  }

  /**
   * Records that bytes have been received.
   *
   * @param inHead whether a request head is now incomplete
   * @param inBody whether a request body is now incomplete
   */
  void onBytesReceived(boolean inHead, boolean inBody, long nowNanos) {
    readPending = false;
    if (inHead && !readingHead) {
      headStartNanos = nowNanos;
    }
    readingHead = inHead;
    readingBody = inBody;
  }

  /** Returns the remaining time until the timeout; zero or negative if the sender is too slow. */
  long remainingNanos(long nowNanos) {
    if (readingHead) {
      return headStartNanos + timeoutNanos - nowNanos;
    }
    return readingBody && readPending ? readStartNanos + timeoutNanos - nowNanos : timeoutNanos;
  }
}
