package org.radishpost.events;

import java.util.ArrayDeque;
import java.util.List;

/** The last events of a VM, a bounded number; thread-safe. */
public final class Timeline {
  private final int capacity;
  private final ArrayDeque<Event> events = new ArrayDeque<>();

  /** Creates an empty time line that keeps so many events. */
  public Timeline(int capacity) {
    this.capacity = capacity;
  }

  /** Adds an event and forgets the oldest if there is no room. */
  public synchronized void add(Event event) {
    if (events.size() == capacity) {
      events.removeFirst();
    }
    events.addLast(event);
  }

  /** Returns the events with a number above the given one, oldest first. */
  public synchronized List<Event> after(long sequence) {
    return events.stream().filter(event -> event.sequence() > sequence).toList();
  }
}
