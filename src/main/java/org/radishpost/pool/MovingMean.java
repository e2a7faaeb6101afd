package org.radishpost.pool;

/** An exponentially weighted mean; a plain mean until it has seen as many values as its window. */
final class MovingMean {
  private final int windowSize;
  private double mean;
  private int samples;

  MovingMean(int windowSize) {
    this.windowSize = windowSize;
  }

  void add(long value) {
    samples = Math.min(windowSize, samples + 1);
    mean += (value - mean) / samples;
  }

  /** Returns the mean, 0 before the first value. */
  long value() {
    return (long) mean;
  }
}
