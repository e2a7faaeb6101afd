package org.radishpost.claims;

/**
 * How many appends a stream may take now: a token bucket that others' records drain as well.
 *
 * <p>Not thread-safe.
 */
final class AppendBudget {
  private static final long TOKEN_NANOS = 1_000_000_000L / ClaimLimits.APPENDS_PER_SECOND;
  private static final long FULL_NANOS = TOKEN_NANOS * ClaimLimits.APPEND_BURST;

  private long filledNanos;

  AppendBudget(long nowNanos) {
    filledNanos = nowNanos - FULL_NANOS;
  }

  /** Takes the token of one record, own or not. */
  void spend(long nowNanos) {
    long oldest = nowNanos - FULL_NANOS;
    long newest = nowNanos + FULL_NANOS;
    filledNanos = Math.min(newest, Math.max(oldest, filledNanos) + TOKEN_NANOS);
  }

  /** Returns when the next append may go. */
  long readyNanos() {
    return filledNanos + TOKEN_NANOS;
  }
}
