package org.radishpost.pool;

/**
 * An exponentially weighted moving mean. Until the window is full, it is the arithmetic mean of all
 * values.
 */
final class MovingMean {
  private final int windowSize;
  private double mean;
  private int sampleCount;

  MovingMean(int windowSize) {
    this.windowSize = windowSize;
  }

  void add(long value) {
    sampleCount = Math.min(windowSize, sampleCount + 1);
    mean += (value - mean) / sampleCount;
  }

  /** Returns the mean, or 0 if no value has been added. */
  long value() {
    return (long) mean;
  }
}
