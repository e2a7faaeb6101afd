package org.radishpost.slots;

/** Why a broker offers no slot. */
public enum SlotRefusalReason {
  /** All targets are full, and none became free during the wait. */
  FULL,
  /** The broker knows no target that it can offer; the VM has to select one itself. */
  NO_TARGET
}
