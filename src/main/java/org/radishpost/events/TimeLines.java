package org.radishpost.events;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Merges the time lines of several VMs. */
public final class TimeLines {
  private static final Comparator<Event> CAUSAL =
      Comparator.comparing(Event::stamp)
          .thenComparing(Event::vm)
          .thenComparingLong(Event::sequence);

  private TimeLines() {}

  /** Returns all events in an order in which no effect stands before its cause. */
  public static List<Event> merge(Collection<List<Event>> lines) {
    return lines.stream().flatMap(List::stream).sorted(CAUSAL).toList();
  }
}
