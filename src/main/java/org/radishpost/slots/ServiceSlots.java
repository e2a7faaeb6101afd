package org.radishpost.slots;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TargetId;
import org.radishpost.placement.TrackedTarget;

/**
 * The occupied slots and the waiting calls of one service in one region. Confined to one thread.
 */
final class ServiceSlots {
  private final RegionalService key;
  private final Map<TargetId, TargetSlots> slotsByTarget = new HashMap<>();
  private final List<WaitingCall> waiting = new ArrayList<>();
  private boolean wakeUpScheduled;

  ServiceSlots(RegionalService key) {
    this.key = key;
  }

  RegionalService key() {
    return key;
  }

  /** Returns the calls that wait for a slot; may be modified. */
  List<WaitingCall> waiting() {
    return waiting;
  }

  boolean wakeUpScheduled() {
    return wakeUpScheduled;
  }

  void setWakeUpScheduled(boolean scheduled) {
    wakeUpScheduled = scheduled;
  }

  void recordOffer(TargetId target) {
    slots(target).recordOffer();
  }

  void recordReturn(TargetId target, Optional<LoadSample> load, long nowNanos) {
    slots(target).recordReturn(load, nowNanos);
  }

  /** Returns those of the targets that have a free slot. */
  List<FreeTarget> free(List<TrackedTarget> targets, long nowNanos) {
    List<FreeTarget> free = new ArrayList<>();
    for (TrackedTarget tracked : targets) {
      TargetId id = tracked.target().id();
      TargetSlots slots = slots(id);
      if (slots.free(tracked, nowNanos)) {
        free.add(
            new FreeTarget(
                id,
                tracked.target().place(),
                slots.occupied(nowNanos),
                tracked.target().slots(),
                slots.currentLoad(nowNanos)));
      }
    }
    return free;
  }

  /** Forgets targets that are no longer registered, once all their slots have been returned. */
  void retainTargets(List<TrackedTarget> registered) {
    List<TargetId> ids = registered.stream().map(tracked -> tracked.target().id()).toList();
    slotsByTarget.entrySet().removeIf(e -> e.getValue().unused() && !ids.contains(e.getKey()));
  }

  private TargetSlots slots(TargetId target) {
    return slotsByTarget.computeIfAbsent(target, id -> new TargetSlots());
  }
}
