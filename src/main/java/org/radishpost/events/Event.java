package org.radishpost.events;

import java.util.List;
import org.radishpost.lib.VmId;

/**
 * Something that happened on a VM.
 *
 * @param timestamp when, in an order that respects causes over all VMs
 * @param vm where
 * @param sequence its number on the VM, from 1
 * @param code what
 * @param fields the details
 */
public record Event(
    EventTimestamp timestamp, VmId vm, long sequence, EventCode code, List<EventField> fields) {
  /** Copies the list. */
  public Event {
    fields = List.copyOf(fields);
  }
}
