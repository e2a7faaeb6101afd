package org.radishpost.feed;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * A bounded buffer of the most recent records of one feed, all of the same era. Confined to one
 * thread.
 */
final class RecentFeedRecords {
  private final int maxRecords;
  private final Deque<FeedRecord> records = new ArrayDeque<>();
  private TopicOffset firstOffset = new TopicOffset(0, 0);
  private TopicOffset nextOffset = firstOffset;

  RecentFeedRecords(int maxRecords) {
    this.maxRecords = maxRecords;
  }

  /** Returns the offset of the next record to be added. */
  TopicOffset nextOffset() {
    return nextOffset;
  }

  void add(List<? extends FeedRecord> newRecords, TopicOffset newNextOffset) {
    newRecords.forEach(records::addLast);
    while (records.size() > maxRecords) {
      firstOffset = records.removeFirst().offset().next();
    }
    nextOffset = newNextOffset;
  }

  /** Removes all records; the next record to be added has the given offset or a higher one. */
  void resetTo(TopicOffset offset) {
    records.clear();
    firstOffset = offset;
    nextOffset = offset;
  }

  /**
   * Returns the records from an offset onwards; empty if some of them have been discarded, or if
   * the offset was assigned in another era.
   */
  Optional<List<FeedRecord>> since(TopicOffset offset) {
    if (!offset.sameEra(nextOffset) || offset.isBefore(firstOffset)) {
      return Optional.empty();
    }
    return Optional.of(
        records.stream().filter(record -> !record.offset().isBefore(offset)).toList());
  }
}
