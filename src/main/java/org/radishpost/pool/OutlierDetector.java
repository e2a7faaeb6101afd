package org.radishpost.pool;

/** When one target is an outlier by its errors, and for how long it stays ejected. */
final class OutlierDetector {
  private static final int MAX_CONSECUTIVE_ERRORS = 5;
  private static final int MAX_CONSECUTIVE_CONNECT_FAILURES = 2;
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
    return consecutiveErrors >= MAX_CONSECUTIVE_ERRORS
        || consecutiveConnectFailures >= MAX_CONSECUTIVE_CONNECT_FAILURES;
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
