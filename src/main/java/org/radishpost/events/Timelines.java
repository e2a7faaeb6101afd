package org.radishpost.events;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Merges the timelines of several VMs. */
public final class Timelines {
  private static final Comparator<Event> CAUSAL =
      Comparator.comparing(Event::timestamp)
          .thenComparing(Event::vm)
          .thenComparingLong(Event::sequence);

  private Timelines() {}

  /** Returns all events in causal order: no effect precedes its cause. */
  public static List<Event> merge(Collection<List<Event>> timelines) {
    return timelines.stream().flatMap(List::stream).sorted(CAUSAL).toList();
  }
}
