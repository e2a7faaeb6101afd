package org.radishpost.store;

import java.util.List;

/**
 * The answer to a read.
 *
 * @param records the records in the order of their offsets, none when there is nothing new
 * @param earliestOffset the first offset that the log still keeps; when it is above the offset
 *     asked for, the records between are gone
 * @param nextOffset the offset that the stream's next append will get
 * @param timeMillis the log's time, in milliseconds since 1970
 * @param horizonMillis the time of the newest record of the stream that is gone, 0 for none
 */
public record LogPage(
    List<LogRecord> records,
    long earliestOffset,
    long nextOffset,
    long timeMillis,
    long horizonMillis) {
  /** Copies the list. */
  public LogPage {
    records = List.copyOf(records);
  }
}
