package org.radishpost.pool;

import org.radishpost.manifest.ColdStartSpec;

/**
 * What one owner may give to a target that is cold or ramping.
 *
 * @param calls the calls that a cold target bears at once, from all owners
 * @param callsPerSecond the calls that a cold target bears in a second, from all owners
 * @param rampNanos the time over which both grow to those of a warm target
 * @param owners the owners that may be at work together
 */
record ColdLimits(int calls, int callsPerSecond, long rampNanos, int owners) {
  /** The owners that a stale view may put to work together. */
  static final int OWNERS = 2;

  private static final long SECOND_NANOS = 1_000_000_000L;

  static ColdLimits of(ColdStartSpec spec, int owners) {
    return new ColdLimits(spec.calls(), spec.callsPerSecond(), spec.ramp().toNanos(), owners);
  }

  /** Returns the calls at once at a point of the ramp, 0 to 1. */
  int callsAt(double ramped, int slots) {
    double borne = calls + Math.max(0, slots - calls) * ramped;
    return Math.max(1, Math.min(slots, (int) (borne / owners)));
  }

  /** Returns the calls in a second at a point of the ramp, 0 to 1. */
  int perSecondAt(double ramped, int slots, long serviceNanos) {
    double warm = (double) slots * SECOND_NANOS / Math.max(1, serviceNanos);
    double borne = callsPerSecond + Math.max(0, warm - callsPerSecond) * ramped;
    return Math.max(1, (int) (borne / owners));
  }
}
