package org.radishpost.pool;

import org.radishpost.manifest.ColdStartSpec;

/**
 * What one owner may give to a target that is cold or ramping.
 *
 * @param maxCalls the calls that a cold target bears at once, from all owners
 * @param maxCallsPerSecond the calls that a cold target bears in a second, from all owners
 * @param rampNanos the time over which both grow to those of a warm target
 * @param owners the owners that may be at work together
 */
record ColdStartLimits(int maxCalls, int maxCallsPerSecond, long rampNanos, int owners) {
  /** The owners that a stale view may put to work together. */
  static final int MAX_CONCURRENT_OWNERS = 2;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  static ColdStartLimits of(ColdStartSpec spec, int owners) {
    return new ColdStartLimits(spec.calls(), spec.callsPerSecond(), spec.ramp().toNanos(), owners);
  }

  /** Returns the calls at once at a point of the ramp, 0 to 1. */
  int maxCallsAt(double rampProgress, int slots) {
    double totalCalls = maxCalls + Math.max(0, slots - maxCalls) * rampProgress;
    return Math.max(1, Math.min(slots, (int) (totalCalls / owners)));
  }

  /** Returns the calls in a second at a point of the ramp, 0 to 1. */
  int maxCallsPerSecondAt(double rampProgress, int slots, long serviceNanos) {
    double warmCallsPerSecond = (double) slots * NANOS_PER_SECOND / Math.max(1, serviceNanos);
    double totalCallsPerSecond =
        maxCallsPerSecond + Math.max(0, warmCallsPerSecond - maxCallsPerSecond) * rampProgress;
    return Math.max(1, (int) (totalCallsPerSecond / owners));
  }
}
