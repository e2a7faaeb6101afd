package org.radishpost.pool;

/**
 * An exponentially weighted moving geometric mean of durations. A few very long durations change it
 * only slightly.
 *
 * <p>Until the window is full, it is the geometric mean of all durations.
 */
final class MovingGeometricMean {
  private final int windowSize;
  private double meanLog;
  private int sampleCount;

  MovingGeometricMean(int windowSize) {
    this.windowSize = windowSize;
  }

  void add(long nanos) {
    sampleCount = Math.min(windowSize, sampleCount + 1);
    meanLog += (Math.log(Math.max(1, nanos)) - meanLog) / sampleCount;
  }

  /** Returns the mean, or 0 if no duration has been added. */
  long nanos() {
    return sampleCount == 0 ? 0 : (long) Math.exp(meanLog);
  }

  boolean isWindowFull() {
    return sampleCount == windowSize;
  }

  void copyFrom(MovingGeometricMean other) {
    meanLog = other.meanLog;
    sampleCount = Math.min(windowSize, other.sampleCount);
  }

  void reset() {
    sampleCount = 0;
    meanLog = 0;
  }
}
