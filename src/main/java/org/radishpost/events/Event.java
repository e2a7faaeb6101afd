package org.radishpost.events;

import java.util.List;
import org.radishpost.lib.VmId;

/**
 * An event that occurred on a VM.
 *
 * @param timestamp the time of the event; the order of timestamps is causal across all VMs
 * @param vm the VM on which the event occurred
 * @param sequence the number of the event on its VM, from 1
 * @param code the kind of event
 * @param fields the details
 */
public record Event(
    EventTimestamp timestamp, VmId vm, long sequence, EventCode code, List<EventField> fields) {
  /** Creates the record with an immutable copy of the list. */
  public Event {
    fields = List.copyOf(fields);
  }
}
