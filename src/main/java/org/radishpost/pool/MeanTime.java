package org.radishpost.pool;

/** An exponentially weighted mean of times; a plain mean until it has seen enough of them. */
final class MeanTime {
  private final int window;
  private double meanNanos;
  private int seen;

  MeanTime(int window) {
    this.window = window;
  }

  void add(long nanos) {
    seen = Math.min(window, seen + 1);
    meanNanos += (nanos - meanNanos) / seen;
  }

  /** Returns the mean, 0 before the first time. */
  long nanos() {
    return (long) meanNanos;
  }

  boolean settled() {
    return seen == window;
  }

  void reset() {
    seen = 0;
    meanNanos = 0;
  }
}
