package org.radishpost.direct;

import java.time.Duration;
import java.util.Optional;
import org.radishpost.placement.LoadSample;
import org.radishpost.slots.SlotOutcome;

/** A slot of a target that is reserved for one attempt of a call. */
interface ReservedSlot {
  /** The slot of a target that was chosen without a reservation. */
  ReservedSlot NONE = (outcome, serviceTime, load) -> {};

  /**
   * Returns the slot; further invocations have no effect.
   *
   * @param outcome how the slot was used
   * @param serviceTime the time from sending the call until its response
   * @param load the load that the target reported
   */
  void release(SlotOutcome outcome, Duration serviceTime, Optional<LoadSample> load);
}
