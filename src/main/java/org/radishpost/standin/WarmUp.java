package org.radishpost.standin;

/**
 * The warm-up progress of a target: half from the time since its start, half from its completed
 * calls. Thread-safe.
 */
final class WarmUp {
  static final int FULLY_WARM_PERCENT = 100;

  private final TargetOptions options;
  private boolean warm;
  private long startMillis;
  private int completedCalls;

  WarmUp(TargetOptions options) {
    this.options = options;
    this.warm = options.startWarm();
  }

  /** Sets the time of the first start. */
  synchronized void start(long nowMillis) {
    startMillis = nowMillis;
  }

  /** Makes the target fully cold. */
  synchronized void resetToCold(long nowMillis) {
    warm = false;
    startMillis = nowMillis;
    completedCalls = 0;
  }

  /** Counts a completed call. */
  synchronized void countCompletedCall() {
    completedCalls++;
  }

  /** Returns the warm-up progress, from 0 to 100. */
  synchronized int percent(long nowMillis) {
    if (warm) {
      return FULLY_WARM_PERCENT;
    }
    double timeFraction = cappedFraction(nowMillis - startMillis, options.warmUpTime().toMillis());
    double callFraction = cappedFraction(completedCalls, options.warmUpCalls());
    int percent = (int) (FULLY_WARM_PERCENT * (timeFraction + callFraction) / 2);
    warm = percent >= FULLY_WARM_PERCENT;
    return percent;
  }

  /** Returns the maximum number of running and waiting calls. */
  int maxCalls(long nowMillis) {
    int percent = percent(nowMillis);
    int warmCapacity = options.slots() + options.maxQueued();
    return options.coldCapacity()
        + Math.max(0, warmCapacity - options.coldCapacity()) * percent / FULLY_WARM_PERCENT;
  }

  /** Returns the factor by which service times are longer than those of a warm target. */
  double slowdown(long nowMillis) {
    double coldFraction = 1 - (double) percent(nowMillis) / FULLY_WARM_PERCENT;
    return 1 + (options.coldSlowdown() - 1) * coldFraction;
  }

  private static double cappedFraction(long part, long whole) {
    return whole <= 0 ? 1 : Math.min(1, (double) part / whole);
  }
}
