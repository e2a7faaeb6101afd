package org.radishpost.placement;

import java.util.Comparator;

/**
 * The version of a target's registry entry, by which the entries of a target are ordered. Entries
 * may be read in another order than the target wrote them, as the registry may carry out a write
 * late.
 *
 * @param startedMillis when the target started, in milliseconds since 1970; 0 if unknown
 * @param sequence the number that the target raises with each entry that it writes; starts anew
 *     when the target starts
 */
public record EntryVersion(long startedMillis, long sequence) implements Comparable<EntryVersion> {
  private static final Comparator<EntryVersion> ORDER =
      Comparator.comparingLong(EntryVersion::startedMillis)
          .thenComparingLong(EntryVersion::sequence);

  @Override
  public int compareTo(EntryVersion other) {
    return ORDER.compare(this, other);
  }
}
