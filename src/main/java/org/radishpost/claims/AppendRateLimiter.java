package org.radishpost.claims;

/**
 * How many appends a stream may take now: a token bucket that others' records drain as well.
 *
 * <p>Not thread-safe.
 */
final class AppendRateLimiter {
  private static final long NANOS_PER_APPEND = 1_000_000_000L / ClaimLimits.APPENDS_PER_SECOND;
  private static final long BURST_NANOS = NANOS_PER_APPEND * ClaimLimits.APPEND_BURST;

  private long consumedUntilNanos;

  AppendRateLimiter(long nowNanos) {
    consumedUntilNanos = nowNanos - BURST_NANOS;
  }

  /** Takes the token of one record, own or not. */
  void consume(long nowNanos) {
    long earliestNanos = nowNanos - BURST_NANOS;
    long latestNanos = nowNanos + BURST_NANOS;
    consumedUntilNanos =
        Math.min(latestNanos, Math.max(earliestNanos, consumedUntilNanos) + NANOS_PER_APPEND);
  }

  /** Returns when the next append may go. */
  long nextAppendNanos() {
    return consumedUntilNanos + NANOS_PER_APPEND;
  }
}
