package org.radishpost.feed;

/**
 * The offset of a record in a topic, together with the era of the store that assigned it.
 *
 * <p>A store that was restored from an earlier copy begins a new era: it loses its newest records
 * and assigns their offsets to other records. So offsets are ordered by era first, and two of
 * different eras say nothing about which records lie between them.
 *
 * @param era the era of the store; 0 if the store names none
 * @param offset the number of the record, counted from 0
 */
public record TopicOffset(long era, long offset) implements Comparable<TopicOffset> {
  @Override
  public int compareTo(TopicOffset other) {
    int byEra = Long.compare(era, other.era);
    return byEra != 0 ? byEra : Long.compare(offset, other.offset);
  }

  /** Returns whether both offsets were assigned in the same era. */
  public boolean sameEra(TopicOffset other) {
    return era == other.era;
  }

  /** Returns whether this offset is of an earlier era, or of the same era and lower. */
  public boolean isBefore(TopicOffset other) {
    return compareTo(other) < 0;
  }

  /** Returns the offset that follows in the same era. */
  public TopicOffset next() {
    return new TopicOffset(era, offset + 1);
  }

  /** Returns the era and the offset, separated by a slash. */
  @Override
  public String toString() {
    return era + "/" + offset;
  }
}
