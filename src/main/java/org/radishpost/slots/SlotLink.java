package org.radishpost.slots;

/** The connection of a broker to a VM. */
public interface SlotLink {
  /** Sends a message to the VM. */
  void send(SlotMessage message);
}
