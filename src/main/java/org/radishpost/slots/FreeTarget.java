package org.radishpost.slots;

import java.util.Optional;
import org.radishpost.lib.Place;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TargetId;

/**
 * A target with a free slot, at the time of an assignment.
 *
 * @param id the ID of the target
 * @param place the region and zone of the target
 * @param occupied the number of its occupied slots
 * @param slots the number of its slots
 * @param load its load, or empty if its slowdown is unknown
 */
record FreeTarget(TargetId id, Place place, int occupied, int slots, Optional<LoadSample> load) {
  private static final double NO_SLOWDOWN_PERCENT = LoadSample.NO_SLOWDOWN_PERCENT;

  /** Many targets slow down when all of their slots are in use. */
  private static final double LAST_SLOT_SLOWDOWN_FACTOR = 1.4;

  /** Returns the slowdown of a further call as a factor; 1 is none. */
  double slowdown() {
    double reported = load.map(known -> known.slowdownPercent() / NO_SLOWDOWN_PERCENT).orElse(1.0);
    boolean lastSlot = occupied > 0 && occupied + 1 >= slots;
    return lastSlot ? reported * LAST_SLOT_SLOWDOWN_FACTOR : reported;
  }

  boolean idle() {
    return occupied == 0;
  }
}
