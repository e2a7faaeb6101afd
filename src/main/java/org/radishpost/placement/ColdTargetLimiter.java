package org.radishpost.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Divides what a cold target bears among all VMs without their agreement.
 *
 * <p>For each cold target about half of the VMs may send, chosen by a hash of both, and each of
 * them one call in {@value #MIN_SEND_INTERVAL_NANOS} ns. So the sum over all VMs stays within what
 * a cold target bears, whichever VMs are lost, cut off or added. Confined to one thread.
 */
public final class ColdTargetLimiter {
  private static final long MIN_SEND_INTERVAL_NANOS = 1_300_000_000L;
  private static final int ELIGIBLE_ONE_IN = 2;
  private static final int HASH_MULTIPLIER = 0x9E3779B9;

  private final String vmId;
  private final Map<TargetId, Long> lastSendNanos = new HashMap<>();

  /**
   * Creates a gate.
   *
   * @param vmId the identity of this VM
   */
  public ColdTargetLimiter(String vmId) {
    this.vmId = vmId;
  }

  /** Tells whether a call may be sent to a target, cold or not. */
  boolean admits(TrackedTarget target, long nowNanos) {
    if (!target.cold(nowNanos)) {
      return true;
    }
    Long lastSend = lastSendNanos.get(target.target().id());
    return eligible(target.target().id())
        && (lastSend == null || nowNanos - lastSend >= MIN_SEND_INTERVAL_NANOS);
  }

  /** Takes note of a call that is sent. */
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
    return Math.floorMod(hash >>> 16, ELIGIBLE_ONE_IN) == 0;
  }
}
