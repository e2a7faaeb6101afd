package org.radishpost.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.radishpost.store.LogRecord;

/** The last records applied, without gaps, within a bound of bytes; not thread-safe. */
final class RecentRecords {
  private static final int MAX_KEPT_BYTES = 2 * 1024 * 1024;
  private static final int MAX_SENT_BYTES = 512 * 1024;

  private final Deque<LogRecord> records = new ArrayDeque<>();
  private long bytes;

  void add(LogRecord record) {
    if (!records.isEmpty() && records.getLast().offset() + 1 != record.offset()) {
      clear();
    }
    records.addLast(record);
    bytes += record.payload().length;
    while (bytes > MAX_KEPT_BYTES) {
      bytes -= records.removeFirst().payload().length;
    }
  }

  void clear() {
    records.clear();
    bytes = 0;
  }

  /** Returns the records from an offset on, as many as fit into a message; none if one is gone. */
  List<LogRecord> from(long offset) {
    if (records.isEmpty() || records.getFirst().offset() > offset) {
      return List.of();
    }
    List<LogRecord> found = new ArrayList<>();
    long size = 0;
    for (LogRecord record : records) {
      if (record.offset() < offset) {
        continue;
      }
      size += record.payload().length;
      if (size > MAX_SENT_BYTES && !found.isEmpty()) {
        break;
      }
      found.add(record);
    }
    return found;
  }
}
