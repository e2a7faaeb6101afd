package org.radishpost.slots;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.radishpost.placement.TargetId;

/** The slots on lease for one request. Confined to one thread. */
final class Lease {
  private final ServiceSlots service;
  private final String route;
  private final long expiryNanos;
  private final Set<TargetId> targets;

  Lease(ServiceSlots service, WaitingCall call, List<FreeTarget> offered) {
    this.service = service;
    this.route = call.request().route();
    this.expiryNanos = call.expiryNanos();
    this.targets = new HashSet<>(offered.stream().map(FreeTarget::id).toList());
  }

  ServiceSlots service() {
    return service;
  }

  String route() {
    return route;
  }

  boolean expired(long nowNanos) {
    return nowNanos - expiryNanos >= 0;
  }

  /** Returns the targets whose slots have not been returned. */
  Set<TargetId> targets() {
    return Set.copyOf(targets);
  }

  /** Removes a target and returns whether its slot was still on lease. */
  boolean remove(TargetId target) {
    return targets.remove(target);
  }

  boolean ended() {
    return targets.isEmpty();
  }
}
