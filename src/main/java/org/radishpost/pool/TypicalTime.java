package org.radishpost.pool;

/**
 * An exponentially weighted geometric mean of times, which a few very long ones hardly move.
 *
 * <p>It is a plain geometric mean until it has seen as many times as its window holds.
 */
final class TypicalTime {
  private final int window;
  private double meanLog;
  private int seen;

  TypicalTime(int window) {
    this.window = window;
  }

  void add(long nanos) {
    seen = Math.min(window, seen + 1);
    meanLog += (Math.log(Math.max(1, nanos)) - meanLog) / seen;
  }

  /** Returns the typical time, 0 before the first one. */
  long nanos() {
    return seen == 0 ? 0 : (long) Math.exp(meanLog);
  }

  boolean settled() {
    return seen == window;
  }

  void copy(TypicalTime other) {
    meanLog = other.meanLog;
    seen = Math.min(window, other.seen);
  }

  void reset() {
    seen = 0;
    meanLog = 0;
  }
}
