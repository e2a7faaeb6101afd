package org.radishpost.feed;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/** The newest records of one feed, a bounded number of them. Confined to one thread. */
final class RecentRecords {
  private final int bound;
  private final Deque<KeyedRecord> records = new ArrayDeque<>();
  private long first;
  private long next;

  RecentRecords(int bound) {
    this.bound = bound;
  }

  /** Returns the offset of the next record. */
  long next() {
    return next;
  }

  void add(List<KeyedRecord> newest, long newNext) {
    newest.forEach(records::addLast);
    while (records.size() > bound) {
      first = records.removeFirst().offset() + 1;
    }
    next = newNext;
  }

  /** Forgets all records; those that are added next begin at the offset. */
  void restart(long offset) {
    records.clear();
    first = offset;
    next = offset;
  }

  /** Returns the records from an offset on, or nothing if some of them are no longer known. */
  Optional<List<KeyedRecord>> since(long offset) {
    if (offset < first) {
      return Optional.empty();
    }
    return Optional.of(records.stream().filter(record -> record.offset() >= offset).toList());
  }
}
