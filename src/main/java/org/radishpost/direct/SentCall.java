package org.radishpost.direct;

import java.time.Duration;
import java.util.Optional;
import org.radishpost.http.Exchange;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TrackedTarget;
import org.radishpost.slots.SlotOutcome;

/**
 * An attempt that was sent.
 *
 * @param target the target that it was sent to
 * @param slot the slot of the target
 * @param startNanos when it was sent
 * @param slowdownPercent the slowdown of the target at that time
 * @param suspected whether a target had crashed while it ran a request like this one
 * @param exchange what is observed of its connection
 */
record SentCall(
    TrackedTarget target,
    ReservedSlot slot,
    long startNanos,
    int slowdownPercent,
    boolean suspected,
    Exchange exchange) {
  /** Returns the slot; further invocations have no effect. */
  void releaseSlot(SlotOutcome outcome, Optional<LoadSample> load, long nowNanos) {
    slot.release(outcome, Duration.ofNanos(nowNanos - startNanos), load);
  }
}
