package org.radishpost.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Divides what a cold target bears among all VMs without their agreement.
 *
 * <p>For each cold target about half of the VMs may send, chosen by a hash of both, and each of
 * them one call in {@value #INTERVAL_NANOS} ns. So the sum over all VMs stays within what a cold
 * target bears, whichever VMs are lost, cut off or added. Confined to one thread.
 */
public final class ColdGate {
  private static final long INTERVAL_NANOS = 1_300_000_000L;
  private static final int ENTITLED_ONE_IN = 2;
  private static final int MIX = 0x9E3779B9;

  private final String self;
  private final Map<TargetId, Long> lastNanos = new HashMap<>();

  /**
   * Creates a gate.
   *
   * @param self the identity of this VM
   */
  public ColdGate(String self) {
    this.self = self;
  }

  /** Tells whether a call may be sent to a target, cold or not. */
  boolean admits(TrackedTarget target, long nowNanos) {
    if (!target.cold(nowNanos)) {
      return true;
    }
    Long last = lastNanos.get(target.target().id());
    return entitled(target.target().id()) && (last == null || nowNanos - last >= INTERVAL_NANOS);
  }

  /** Takes note of a call that is sent. */
  public void sent(TrackedTarget target, long nowNanos) {
    if (target.cold(nowNanos)) {
      lastNanos.entrySet().removeIf(entry -> nowNanos - entry.getValue() >= INTERVAL_NANOS);
      lastNanos.put(target.target().id(), nowNanos);
    }
  }

  private boolean entitled(TargetId id) {
    int hash = (self + '/' + id.value()).hashCode() * MIX;
    return Math.floorMod(hash >>> 16, ENTITLED_ONE_IN) == 0;
  }
}
