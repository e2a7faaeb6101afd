package org.radishpost.slots;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * Decides which targets to offer to a call, and which waiting call is next.
 *
 * <p>A call that can still be in time gets a target that is expected to respond in time. A call
 * that is bound to be late gets only an idle target, so that it leaves the other slots to calls
 * that can be in time. Confined to one thread.
 */
final class SlotAssigner {
  /** Number of targets with unknown slowdown that a VM probes to use the best of them. */
  private static final int MAX_TARGETS_TO_PROBE = 3;

  /** A target with at most this slowdown is offered without a probe of others. */
  private static final double ACCEPTED_SLOWDOWN = 1.5;

  /** Part of the mean service time that a call should have left, as service times vary. */
  private static final double SERVICE_TIME_MARGIN = 1.75;

  private final RandomGenerator random;

  /**
   * Creates an assigner.
   *
   * @param random selects among equivalent targets
   */
  SlotAssigner(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns the targets to offer to a call, the best first; empty if it should wait.
   *
   * @param free the targets with a free slot
   * @param call the call
   * @param serviceNanos the mean service time of the route without slowdown
   * @param busy whether probes would take slots from other calls
   */
  List<FreeTarget> targetsFor(
      List<FreeTarget> free, WaitingCall call, double serviceNanos, boolean busy, long nowNanos) {
    List<FreeTarget> ranked = new ArrayList<>(free);
    Collections.shuffle(ranked, random);
    ranked.sort(preference(call, busy));
    long remainingNanos = call.remainingNanos(nowNanos);
    if (serviceNanos > remainingNanos) {
      return ranked.stream().filter(FreeTarget::idle).limit(1).toList();
    }
    double maxSlowdown = remainingNanos / serviceNanos;
    List<FreeTarget> known =
        ranked.stream()
            .filter(target -> target.load().isPresent() && target.slowdown() <= maxSlowdown)
            .toList();
    if (!known.isEmpty() && known.getFirst().slowdown() <= ACCEPTED_SLOWDOWN) {
      return known.subList(0, 1);
    }
    int probed = busy ? 1 : MAX_TARGETS_TO_PROBE;
    List<FreeTarget> unknown =
        ranked.stream().filter(target -> target.load().isEmpty()).limit(probed).toList();
    return unknown.isEmpty() ? known.stream().limit(1).toList() : unknown;
  }

  /** Prefers fast targets while the service is busy, and near ones otherwise. */
  private static Comparator<FreeTarget> preference(WaitingCall call, boolean busy) {
    Comparator<FreeTarget> bySlowdown = Comparator.comparingDouble(FreeTarget::slowdown);
    Comparator<FreeTarget> byZone =
        Comparator.comparing(target -> !target.place().zone().equals(call.request().zone()));
    return busy ? bySlowdown.thenComparing(byZone) : byZone.thenComparing(bySlowdown);
  }

  /**
   * Returns the order in which waiting calls are assigned: first those that can be in time with a
   * margin, the most urgent first; then those that just can be in time, the least urgent first; at
   * last those that are bound to be late.
   *
   * @param serviceNanos returns the mean service time of a route without slowdown
   */
  static Comparator<WaitingCall> order(ToDoubleFunction<String> serviceNanos, long nowNanos) {
    return (first, second) -> {
      Urgency urgency = urgency(first, serviceNanos, nowNanos);
      int difference = urgency.compareTo(urgency(second, serviceNanos, nowNanos));
      if (difference != 0) {
        return difference;
      }
      int byTime = Long.compare(first.remainingNanos(nowNanos), second.remainingNanos(nowNanos));
      return urgency == Urgency.TIGHT ? -byTime : byTime;
    };
  }

  private static Urgency urgency(
      WaitingCall call, ToDoubleFunction<String> serviceNanos, long nowNanos) {
    double needed = serviceNanos.applyAsDouble(call.request().route());
    long remainingNanos = call.remainingNanos(nowNanos);
    if (remainingNanos >= SERVICE_TIME_MARGIN * needed) {
      return Urgency.IN_TIME;
    }
    return remainingNanos >= needed ? Urgency.TIGHT : Urgency.LATE;
  }

  /** Whether a call can be in time if it is sent now; in the order of assignment. */
  private enum Urgency {
    IN_TIME,
    TIGHT,
    LATE
  }
}
