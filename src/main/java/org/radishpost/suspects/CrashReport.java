package org.radishpost.suspects;

import java.util.List;
import org.radishpost.lib.Digest;

/**
 * What one VM sends to others about a crash. Times are ages, because the clocks of VMs differ.
 *
 * @param id the crash
 * @param ageNanos the time since the crash
 * @param lost the requests that were lost in the crash
 */
public record CrashReport(CrashId id, long ageNanos, List<Lost> lost) {
  /** Creates a report with an immutable copy of the list. */
  public CrashReport {
    lost = List.copyOf(lost);
  }

  /**
   * A request that was lost in the crash.
   *
   * @param fingerprint the digest that identifies repetitions of the request
   * @param sentAgeNanos the time since the request was sent
   */
  public record Lost(Digest fingerprint, long sentAgeNanos) {}
}
