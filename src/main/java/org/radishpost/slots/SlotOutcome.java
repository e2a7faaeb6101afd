package org.radishpost.slots;

/** How a VM used an offered slot. */
public enum SlotOutcome {
  /** No call was sent. */
  UNUSED,
  /** The target responded successfully. */
  SUCCEEDED,
  /** The target reported that it did not run the call. */
  NOT_RUN,
  /** The call failed after it was sent. */
  FAILED,
  /** The target cannot be connected to, or reported that it is unhealthy. */
  UNREACHABLE
}
