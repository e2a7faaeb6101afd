package org.radishpost.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.radishpost.store.LogRecord;

/** A bounded buffer of the last applied records, with consecutive offsets; not thread-safe. */
final class RecentConfigRecords {
  private static final int MAX_RETAINED_BYTES = 2 * 1024 * 1024;
  private static final int MAX_MESSAGE_BYTES = 512 * 1024;

  private final Deque<LogRecord> records = new ArrayDeque<>();
  private long retainedBytes;

  void add(LogRecord record) {
    if (!records.isEmpty() && records.getLast().offset() + 1 != record.offset()) {
      clear();
    }
    records.addLast(record);
    retainedBytes += record.payload().length;
    while (retainedBytes > MAX_RETAINED_BYTES) {
      retainedBytes -= records.removeFirst().payload().length;
    }
  }

  void clear() {
    records.clear();
    retainedBytes = 0;
  }

  /**
   * Returns the records from an offset on, as many as fit into one message. Returns none if the
   * buffer no longer contains the first of them.
   */
  List<LogRecord> startingAt(long fromOffset) {
    if (records.isEmpty() || records.getFirst().offset() > fromOffset) {
      return List.of();
    }
    List<LogRecord> found = new ArrayList<>();
    long messageBytes = 0;
    for (LogRecord record : records) {
      if (record.offset() < fromOffset) {
        continue;
      }
      messageBytes += record.payload().length;
      if (messageBytes > MAX_MESSAGE_BYTES && !found.isEmpty()) {
        break;
      }
      found.add(record);
    }
    return found;
  }
}
