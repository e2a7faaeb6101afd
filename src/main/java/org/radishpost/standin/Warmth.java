package org.radishpost.standin;

/** How warm a target is: half by the time since its start, half by its calls; thread-safe. */
final class Warmth {
  static final int FULL_PERCENT = 100;

  private final TargetOptions options;
  private boolean warm;
  private long sinceMillis;
  private int calls;

  Warmth(TargetOptions options) {
    this.options = options;
    this.warm = options.startWarm();
  }

  /** Tells it when the target starts for the first time. */
  synchronized void start(long nowMillis) {
    sinceMillis = nowMillis;
  }

  /** Makes it fully cold. */
  synchronized void cool(long nowMillis) {
    warm = false;
    sinceMillis = nowMillis;
    calls = 0;
  }

  /** Counts a call that has run. */
  synchronized void ran() {
    calls++;
  }

  /** Returns the warmth, 0 to 100. */
  synchronized int percent(long nowMillis) {
    if (warm) {
      return FULL_PERCENT;
    }
    double byTime = share(nowMillis - sinceMillis, options.warmTime().toMillis());
    double byCalls = share(calls, options.warmCalls());
    int percent = (int) (FULL_PERCENT * (byTime + byCalls) / 2);
    warm = percent >= FULL_PERCENT;
    return percent;
  }

  /** Returns how many calls, running and waiting, it bears. */
  int bears(long nowMillis) {
    int percent = percent(nowMillis);
    int whenWarm = options.slots() + options.queue();
    return options.coldCalls()
        + Math.max(0, whenWarm - options.coldCalls()) * percent / FULL_PERCENT;
  }

  /** Returns how many times slower than a warm target it is. */
  double factor(long nowMillis) {
    double coldShare = 1 - (double) percent(nowMillis) / FULL_PERCENT;
    return 1 + (options.coldFactor() - 1) * coldShare;
  }

  private static double share(long part, long whole) {
    return whole <= 0 ? 1 : Math.min(1, (double) part / whole);
  }
}
