package org.radishpost.events;

/**
 * Receives events for the log and the timeline of the VM. Implementations are thread-safe and never
 * block.
 */
@FunctionalInterface
public interface EventSink {
  /** Records an event that has just occurred. */
  void emit(EventCode code, EventField... fields);
}
