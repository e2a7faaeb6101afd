package org.radishpost.pool;

/** An exponentially weighted mean; a plain mean until it has seen as many values as its window. */
final class MovingMean {
  private final int window;
  private double mean;
  private int seen;

  MovingMean(int window) {
    this.window = window;
  }

  void add(long value) {
    seen = Math.min(window, seen + 1);
    mean += (value - mean) / seen;
  }

  /** Returns the mean, 0 before the first value. */
  long value() {
    return (long) mean;
  }
}
