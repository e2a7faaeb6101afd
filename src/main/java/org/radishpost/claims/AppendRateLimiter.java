package org.radishpost.claims;

/**
 * Limits the rate of appends to one stream with a token bucket. Records appended by other VMs
 * consume tokens too.
 *
 * <p>Not thread-safe.
 */
final class AppendRateLimiter {
  private static final long NANOS_PER_APPEND = 1_000_000_000L / ClaimLimits.APPENDS_PER_SECOND;
  private static final long BURST_NANOS = NANOS_PER_APPEND * ClaimLimits.APPEND_BURST;

  /** Tokens that accrued up to this time are consumed; one accrues per NANOS_PER_APPEND. */
  private long consumedUntilNanos;

  AppendRateLimiter(long nowNanos) {
    consumedUntilNanos = nowNanos - BURST_NANOS;
  }

  /** Consumes the token of one record, appended by this VM or another one. */
  void consume(long nowNanos) {
    long earliestNanos = nowNanos - BURST_NANOS;
    long latestNanos = nowNanos + BURST_NANOS;
    consumedUntilNanos =
        Math.min(latestNanos, Math.max(earliestNanos, consumedUntilNanos) + NANOS_PER_APPEND);
  }

  /** Returns the earliest time of the next append. */
  long nextAppendNanos() {
    return consumedUntilNanos + NANOS_PER_APPEND;
  }
}
