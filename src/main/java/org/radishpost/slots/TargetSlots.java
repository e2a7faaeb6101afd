package org.radishpost.slots;

import java.util.Optional;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TrackedTarget;

/**
 * The occupied slots of a target, as a broker knows them: those on lease, and those that the target
 * reported itself. Confined to one thread.
 */
final class TargetSlots {
  /** Maximum age of a load report whose calls still count as running. */
  private static final long MAX_REPORT_AGE_NANOS = 400_000_000L;

  private Optional<LoadSample> report = Optional.empty();
  private long reportNanos;
  private int leases;
  private int offeredSinceReport;

  TargetSlots() {}

  /** Records that a slot was offered to a VM. */
  void recordOffer() {
    leases++;
    offeredSinceReport++;
  }

  /** Records that a VM has returned a slot, and the load that the target reported meanwhile. */
  void recordReturn(Optional<LoadSample> load, long nowNanos) {
    leases--;
    if (load.isPresent()) {
      report = load;
      reportNanos = nowNanos;
      offeredSinceReport = 0;
    } else {
      offeredSinceReport = Math.max(0, offeredSinceReport - 1);
    }
  }

  /** Returns whether no slot is on lease. */
  boolean unused() {
    return leases == 0;
  }

  /** Returns the number of occupied slots, queued calls included. */
  int occupied(long nowNanos) {
    int reported =
        report
            .filter(load -> nowNanos - reportNanos <= MAX_REPORT_AGE_NANOS)
            .map(load -> load.running() + load.waiting() + offeredSinceReport)
            .orElse(0);
    return Math.max(leases, reported);
  }

  /** Returns whether the target can run another call at once. */
  boolean free(TrackedTarget target, long nowNanos) {
    return occupied(nowNanos) < slots(target);
  }

  /**
   * Returns the load at this time, or empty if the last report is too old to tell the slowdown,
   * which changes within milliseconds.
   *
   * @param maxAgeNanos the maximum age of the report
   */
  Optional<LoadSample> currentLoad(long maxAgeNanos, long nowNanos) {
    return report
        .filter(load -> nowNanos - reportNanos <= maxAgeNanos)
        .map(load -> new LoadSample(occupied(nowNanos), 0, load.slots(), load.slowdownPercent()));
  }

  /** Returns the number of slots. */
  int slots(TrackedTarget target) {
    return Math.max(1, report.map(LoadSample::slots).orElse(target.target().slots()));
  }
}
