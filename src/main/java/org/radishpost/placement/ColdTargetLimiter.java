package org.radishpost.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the rate of calls to cold targets without coordination between VMs.
 *
 * <p>A hash of VM and target makes about half of the VMs eligible to use a given cold target. Each
 * eligible VM sends it at most one call per {@value #MIN_SEND_INTERVAL_NANOS} ns. This bounds the
 * total rate of all VMs at a level that a cold target can handle, even while VMs fail, are
 * partitioned or are added. Confined to one thread.
 */
public final class ColdTargetLimiter {
  private static final long MIN_SEND_INTERVAL_NANOS = 1_300_000_000L;
  private static final int VMS_PER_ELIGIBLE_VM = 2;
  private static final int HASH_MULTIPLIER = 0x9E3779B9;

  private final String vmId;
  private final Map<TargetId, Long> lastSendNanos = new HashMap<>();

  /**
   * Creates a limiter for one VM.
   *
   * @param vmId the ID of this VM
   */
  public ColdTargetLimiter(String vmId) {
    this.vmId = vmId;
  }

  /** Returns whether a call may be sent to the target now; always true for a warm target. */
  boolean admits(TrackedTarget target, long nowNanos) {
    if (!target.cold(nowNanos)) {
      return true;
    }
    Long lastSend = lastSendNanos.get(target.target().id());
    return eligible(target.target().id())
        && (lastSend == null || nowNanos - lastSend >= MIN_SEND_INTERVAL_NANOS);
  }

  /** Records that a call is sent to the target now. */
  public void recordSend(TrackedTarget target, long nowNanos) {
    if (target.cold(nowNanos)) {
      lastSendNanos
          .entrySet()
          .removeIf(entry -> nowNanos - entry.getValue() >= MIN_SEND_INTERVAL_NANOS);
      lastSendNanos.put(target.target().id(), nowNanos);
    }
  }

  private boolean eligible(TargetId id) {
    int hash = (vmId + '/' + id.value()).hashCode() * HASH_MULTIPLIER;
    return Math.floorMod(hash >>> 16, VMS_PER_ELIGIBLE_VM) == 0;
  }
}
