package org.radishpost.feed;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** A bounded buffer of the most recent records of one feed. Confined to one thread. */
final class RecentFeedRecords {
  private final int maxRecords;
  private final Deque<KeyedRecord> records = new ArrayDeque<>();
  private long firstOffset;
  private long nextOffset;

  RecentFeedRecords(int maxRecords) {
    this.maxRecords = maxRecords;
  }

  /** Returns the offset of the next record to be added. */
  long nextOffset() {
    return nextOffset;
  }

  void add(List<KeyedRecord> newRecords, long newNextOffset) {
    newRecords.forEach(records::addLast);
    while (records.size() > maxRecords) {
      firstOffset = records.removeFirst().offset() + 1;
    }
    nextOffset = newNextOffset;
  }

  /** Removes all records; the next record to be added has the given offset or a higher one. */
  void resetTo(long offset) {
    records.clear();
    firstOffset = offset;
    nextOffset = offset;
  }

  /** Returns the records from an offset onwards; empty if some of them have been discarded. */
  Optional<List<KeyedRecord>> since(long offset) {
    if (offset < firstOffset) {
      return Optional.empty();
    }
    return Optional.of(records.stream().filter(record -> record.offset() >= offset).toList());
  }
}
