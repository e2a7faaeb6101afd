package org.radishpost.direct;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TargetId;
import org.radishpost.slots.SlotMessage;
import org.radishpost.slots.SlotOutcome;

/** The slots that a broker offered for one request. Confined to one thread. */
final class OfferedSlots {
  private final long requestId;
  private final Consumer<SlotMessage> broker;
  private final Map<TargetId, SlotMessage.OfferedTarget> open = new HashMap<>();

  /**
   * Creates the slots of an offer.
   *
   * @param offer the offer
   * @param broker sends messages to the broker
   */
  OfferedSlots(SlotMessage.Offer offer, Consumer<SlotMessage> broker) {
    this.requestId = offer.id();
    this.broker = broker;
    offer.targets().forEach(target -> open.put(target.target(), target));
  }

  /** Returns the targets whose slots have not been returned. */
  List<SlotMessage.OfferedTarget> targets() {
    return List.copyOf(open.values());
  }

  /** Returns a slot; has no effect if it was already returned. */
  void release(
      TargetId target, SlotOutcome outcome, Duration serviceTime, Optional<LoadSample> load) {
    if (open.remove(target) != null) {
      broker.accept(new SlotMessage.Release(requestId, target, outcome, serviceTime, load));
    }
  }

  /** Returns a slot to which no call was sent, with the load that the target reported. */
  void releaseUnused(TargetId target, Optional<LoadSample> load) {
    release(target, SlotOutcome.UNUSED, Duration.ZERO, load);
  }

  /** Returns all remaining slots. */
  void cancel() {
    if (!open.isEmpty()) {
      open.clear();
      broker.accept(new SlotMessage.Cancel(requestId));
    }
  }

  /** Returns the reservation of one of the slots. */
  ReservedSlot reserve(TargetId target) {
    return (outcome, serviceTime, load) -> release(target, outcome, serviceTime, load);
  }
}
