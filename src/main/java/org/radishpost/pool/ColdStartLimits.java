package org.radishpost.pool;

import org.radishpost.manifest.ColdStartSpec;

/**
 * Limits on the calls that one owner sends to a target that is cold or ramping.
 *
 * <p>Each owner uses an equal part of the target's limits, because several owners may send to the
 * target at the same time.
 *
 * @param maxCalls the maximum number of concurrent calls to a cold target, over all owners
 * @param maxCallsPerSecond the maximum rate of calls to a cold target, over all owners
 * @param rampNanos the time over which both limits grow to those of a warm target
 * @param owners the number of owners that share the limits
 */
record ColdStartLimits(int maxCalls, int maxCallsPerSecond, long rampNanos, int owners) {
  /**
   * The number of VMs that may act as owner of the same pool at the same time, because a VM's view
   * of the owners may be stale.
   */
  static final int MAX_CONCURRENT_OWNERS = 2;

  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  static ColdStartLimits of(ColdStartSpec spec, int owners) {
    return new ColdStartLimits(spec.calls(), spec.callsPerSecond(), spec.ramp().toNanos(), owners);
  }

  /**
   * Returns the maximum number of concurrent calls from one owner.
   *
   * @param rampProgress the progress of the ramp, 0 to 1
   * @param slots the number of slots of the target
   */
  int maxCallsAt(double rampProgress, int slots) {
    double totalCalls = maxCalls + Math.max(0, slots - maxCalls) * rampProgress;
    return Math.max(1, Math.min(slots, (int) (totalCalls / owners)));
  }

  /**
   * Returns the maximum rate of calls from one owner, in calls per second.
   *
   * @param rampProgress the progress of the ramp, 0 to 1
   * @param slots the number of slots of the target
   * @param serviceNanos the mean service time of the pool
   */
  int maxCallsPerSecondAt(double rampProgress, int slots, long serviceNanos) {
    double warmCallsPerSecond = (double) slots * NANOS_PER_SECOND / Math.max(1, serviceNanos);
    double totalCallsPerSecond =
        maxCallsPerSecond + Math.max(0, warmCallsPerSecond - maxCallsPerSecond) * rampProgress;
    return Math.max(1, (int) (totalCallsPerSecond / owners));
  }
}
