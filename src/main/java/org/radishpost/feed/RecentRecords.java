package org.radishpost.feed;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** The newest records of one feed, a bounded number of them. Confined to one thread. */
final class RecentRecords {
  private final int maxRecords;
  private final Deque<KeyedRecord> records = new ArrayDeque<>();
  private long firstOffset;
  private long nextOffset;

  RecentRecords(int maxRecords) {
    this.maxRecords = maxRecords;
  }

  /** Returns the offset of the next record. */
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

  /** Forgets all records; those that are added next begin at the offset. */
  void resetTo(long offset) {
    records.clear();
    firstOffset = offset;
    nextOffset = offset;
  }

  /** Returns the records from an offset on, or nothing if some of them are no longer known. */
  Optional<List<KeyedRecord>> since(long offset) {
    if (offset < firstOffset) {
      return Optional.empty();
    }
    return Optional.of(records.stream().filter(record -> record.offset() >= offset).toList());
  }
}
