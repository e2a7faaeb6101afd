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
  private static final double BUSY_SLOT_SHARE = 0.5;

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

  /** Returns whether the targets have so many calls that probes would take slots from them. */
  boolean busy(List<TrackedTarget> targets, long nowNanos) {
    int occupied =
        targets.stream().mapToInt(tracked -> slots(tracked.target().id()).occupied(nowNanos)).sum();
    return waiting.size() > 1 || occupied >= BUSY_SLOT_SHARE * slotCount(targets);
  }

  /** Returns the number of slots of the targets together. */
  int slotCount(List<TrackedTarget> targets) {
    return targets.stream().mapToInt(tracked -> slots(tracked.target().id()).slots(tracked)).sum();
  }

  /**
   * Returns those of the targets that have a free slot.
   *
   * @param maxLoadAgeNanos the maximum age of a load report that tells the slowdown of a target
   */
  List<FreeTarget> free(List<TrackedTarget> targets, long maxLoadAgeNanos, long nowNanos) {
    List<FreeTarget> free = new ArrayList<>();
    for (TrackedTarget tracked : targets) {
      TargetSlots slots = slots(tracked.target().id());
      if (slots.free(tracked, nowNanos)) {
        free.add(
            new FreeTarget(
                tracked.target().id(),
                tracked.target().place(),
                slots.occupied(nowNanos),
                slots.slots(tracked),
                slots.currentLoad(maxLoadAgeNanos, nowNanos)));
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
