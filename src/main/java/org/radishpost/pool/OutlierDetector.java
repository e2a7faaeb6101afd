package org.radishpost.pool;

/**
 * Decides from the errors of one target when to eject it and for how long.
 *
 * <p>The ejection time doubles with each ejection, at most {@link #MAX_EJECTION_DOUBLINGS} times.
 * It is reset to {@link #BASE_EJECTION_NANOS} by a successful call that ends at least {@link
 * #BACKOFF_RESET_NANOS} after the last ejection.
 */
final class OutlierDetector {
  private static final int CONSECUTIVE_ERRORS_TO_EJECT = 5;
  private static final int CONSECUTIVE_CONNECT_FAILURES_TO_EJECT = 2;
  private static final long BASE_EJECTION_NANOS = 1_000_000_000L;
  private static final int MAX_EJECTION_DOUBLINGS = 6;
  private static final long BACKOFF_RESET_NANOS = 60_000_000_000L;

  private int consecutiveErrors;
  private int consecutiveConnectFailures;
  private int consecutiveEjections;
  private long ejectedUntilNanos;

  void recordSuccess(long nowNanos) {
    consecutiveErrors = 0;
    consecutiveConnectFailures = 0;
    if (consecutiveEjections > 0 && nowNanos - ejectedUntilNanos >= BACKOFF_RESET_NANOS) {
      consecutiveEjections = 0;
    }
  }

  void recordError() {
    consecutiveErrors++;
  }

  void recordConnectFailure() {
    consecutiveErrors++;
    consecutiveConnectFailures++;
  }

  int consecutiveErrors() {
    return consecutiveErrors;
  }

  boolean shouldEject() {
    return consecutiveErrors >= CONSECUTIVE_ERRORS_TO_EJECT
        || consecutiveConnectFailures >= CONSECUTIVE_CONNECT_FAILURES_TO_EJECT;
  }

  void startEjection(long nowNanos) {
    ejectedUntilNanos =
        nowNanos + (BASE_EJECTION_NANOS << Math.min(consecutiveEjections, MAX_EJECTION_DOUBLINGS));
    consecutiveEjections++;
    consecutiveErrors = 0;
    consecutiveConnectFailures = 0;
  }

  boolean isEjectionOver(long nowNanos) {
    return nowNanos - ejectedUntilNanos >= 0;
  }
}
