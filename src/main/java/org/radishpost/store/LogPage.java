package org.radishpost.store;

import java.util.List;

/**
 * The result of a read.
 *
 * @param records the records in the order of their offsets; empty if there are no new records
 * @param earliestOffset the first offset that the log still retains; if it is greater than the
 *     requested offset, the records in between are no longer available
 * @param nextOffset the offset of the next record that is appended to the stream
 * @param timeMillis the current time of the log, in milliseconds since 1970
 * @param horizonMillis the time of the newest record that the log no longer retains in the stream,
 *     in milliseconds since 1970; 0 if there is none
 */
public record LogPage(
    List<LogRecord> records,
    long earliestOffset,
    long nextOffset,
    long timeMillis,
    long horizonMillis) {
  /** Creates the record with an immutable copy of the list. */
  public LogPage {
    records = List.copyOf(records);
  }
}
