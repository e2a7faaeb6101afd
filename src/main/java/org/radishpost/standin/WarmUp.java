package org.radishpost.standin;

/** How warm a target is: half by the time since its start, half by its calls; thread-safe. */
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

  /** Tells it when the target starts for the first time. */
  synchronized void start(long nowMillis) {
    startMillis = nowMillis;
  }

  /** Makes it fully cold. */
  synchronized void resetToCold(long nowMillis) {
    warm = false;
    startMillis = nowMillis;
    completedCalls = 0;
  }

  /** Counts a call that has run. */
  synchronized void countCompletedCall() {
    completedCalls++;
  }

  /** Returns the warmth, 0 to 100. */
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

  /** Returns how many calls, running and waiting, it bears. */
  int maxCalls(long nowMillis) {
    int percent = percent(nowMillis);
    int warmCapacity = options.slots() + options.maxQueued();
    return options.coldCapacity()
        + Math.max(0, warmCapacity - options.coldCapacity()) * percent / FULLY_WARM_PERCENT;
  }

  /** Returns how many times slower than a warm target it is. */
  double slowdown(long nowMillis) {
    double coldFraction = 1 - (double) percent(nowMillis) / FULLY_WARM_PERCENT;
    return 1 + (options.coldSlowdown() - 1) * coldFraction;
  }

  private static double cappedFraction(long part, long whole) {
    return whole <= 0 ? 1 : Math.min(1, (double) part / whole);
  }
}
