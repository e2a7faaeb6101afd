package org.radishpost.direct;

/** The reply to a request for a slot. */
sealed interface SlotReply {
  /**
   * Slots are offered.
   *
   * @param slots the offered slots, of which one is to be used
   */
  record Offered(OfferedSlots slots) implements SlotReply {}

  /** All targets are full, and none became free during the wait. */
  record Full() implements SlotReply {}

  /** There is no broker that can offer a slot; the VM has to select a target itself. */
  record Unavailable() implements SlotReply {}
}
