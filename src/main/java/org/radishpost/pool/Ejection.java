package org.radishpost.pool;

/** When one target is an outlier by its errors, and for how long it stays ejected. */
final class Ejection {
  private static final int ERRORS_IN_ROW = 5;
  private static final int REFUSALS_IN_ROW = 2;
  private static final long BASE_NANOS = 1_000_000_000L;
  private static final int MAX_DOUBLINGS = 6;
  private static final long FORGIVE_NANOS = 60_000_000_000L;

  private int errorsInRow;
  private int refusalsInRow;
  private int timesInRow;
  private long untilNanos;

  void good(long nowNanos) {
    errorsInRow = 0;
    refusalsInRow = 0;
    if (timesInRow > 0 && nowNanos - untilNanos >= FORGIVE_NANOS) {
      timesInRow = 0;
    }
  }

  void error() {
    errorsInRow++;
  }

  void refused() {
    errorsInRow++;
    refusalsInRow++;
  }

  int errorsInRow() {
    return errorsInRow;
  }

  boolean due() {
    return errorsInRow >= ERRORS_IN_ROW || refusalsInRow >= REFUSALS_IN_ROW;
  }

  void begin(long nowNanos) {
    untilNanos = nowNanos + (BASE_NANOS << Math.min(timesInRow, MAX_DOUBLINGS));
    timesInRow++;
    errorsInRow = 0;
    refusalsInRow = 0;
  }

  boolean over(long nowNanos) {
    return nowNanos - untilNanos >= 0;
  }
}
