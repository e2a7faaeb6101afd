package org.radishpost.events;

/** Where events go: the log and the time line of the VM; thread-safe, never blocks. */
@FunctionalInterface
public interface EventSink {
  /** Takes an event that has just happened. */
  void emit(EventCode code, EventField... fields);
}
