package org.radishpost.pool;

/**
 * An exponentially weighted geometric mean of times, which a few very long ones hardly move.
 *
 * <p>It is a plain geometric mean until it has seen as many times as its window holds.
 */
final class MovingGeometricMean {
  private final int windowSize;
  private double meanLog;
  private int samples;

  MovingGeometricMean(int windowSize) {
    this.windowSize = windowSize;
  }

  void add(long nanos) {
    samples = Math.min(windowSize, samples + 1);
    meanLog += (Math.log(Math.max(1, nanos)) - meanLog) / samples;
  }

  /** Returns the typical time, 0 before the first one. */
  long nanos() {
    return samples == 0 ? 0 : (long) Math.exp(meanLog);
  }

  boolean isWindowFull() {
    return samples == windowSize;
  }

  void copyFrom(MovingGeometricMean other) {
    meanLog = other.meanLog;
    samples = Math.min(windowSize, other.samples);
  }

  void reset() {
    samples = 0;
    meanLog = 0;
  }
}
