package org.radishpost.events;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Merges the time lines of several VMs. */
public final class Timelines {
  private static final Comparator<Event> CAUSAL =
      Comparator.comparing(Event::timestamp)
          .thenComparing(Event::vm)
          .thenComparingLong(Event::sequence);

  private Timelines() {}

  /** Returns all events in an order in which no effect stands before its cause. */
  public static List<Event> merge(Collection<List<Event>> timelines) {
    return timelines.stream().flatMap(List::stream).sorted(CAUSAL).toList();
  }
}
