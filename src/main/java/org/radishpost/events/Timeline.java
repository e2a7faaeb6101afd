package org.radishpost.events;

import java.util.ArrayDeque;
import java.util.List;

/** A bounded buffer of the most recent events of a VM; thread-safe. */
public final class Timeline {
  private final int capacity;
  private final ArrayDeque<Event> events = new ArrayDeque<>();

  /** Creates an empty timeline that keeps at most {@code capacity} events. */
  public Timeline(int capacity) {
    this.capacity = capacity;
  }

  /** Adds an event and removes the oldest event if the timeline is full. */
  public synchronized void add(Event event) {
    if (events.size() == capacity) {
      events.removeFirst();
    }
    events.addLast(event);
  }

  /** Returns the events with a greater sequence number than the given one, oldest first. */
  public synchronized List<Event> after(long sequence) {
    return events.stream().filter(event -> event.sequence() > sequence).toList();
  }
}
