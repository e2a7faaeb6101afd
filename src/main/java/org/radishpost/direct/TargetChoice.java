package org.radishpost.direct;

import org.radishpost.placement.TrackedTarget;

/** The result of choosing a target. */
sealed interface TargetChoice {
  /**
   * The call is to be sent to a target.
   *
   * @param target the target
   * @param slot the slot of the target that is reserved for the call
   */
  record Chosen(TrackedTarget target, ReservedSlot slot) implements TargetChoice {}

  /**
   * There is no target for the call.
   *
   * @param reason why, for the log
   */
  record None(String reason) implements TargetChoice {}
}
