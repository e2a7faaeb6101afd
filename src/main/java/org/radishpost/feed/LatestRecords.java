package org.radishpost.feed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The latest record of each key of one feed, based on a snapshot. Confined to one thread. */
final class LatestRecords {
  /** A larger snapshot would take too long to send to many VMs that start at the same time. */
  static final int MAX_SNAPSHOT_RECORDS = 2_000;

  private final Map<String, KeyedRecord> records = new HashMap<>();
  private boolean complete;

  /** Replaces all records by a snapshot. */
  void reset(List<KeyedRecord> snapshot) {
    records.clear();
    complete = true;
    add(snapshot);
  }

  /** Applies new records; ignored until a snapshot has been set. */
  void add(List<KeyedRecord> newRecords) {
    if (!complete) {
      return;
    }
    for (KeyedRecord record : newRecords) {
      if (record.value().isPresent()) {
        records.put(record.key(), record);
      } else {
        records.remove(record.key());
      }
    }
  }

  /** Removes all records, because some were missed; a new snapshot is required. */
  void clear() {
    records.clear();
    complete = false;
  }

  /**
   * Returns the latest record of each key; empty if some may be missing or if there are more than
   * {@link #MAX_SNAPSHOT_RECORDS}.
   */
  Optional<List<KeyedRecord>> snapshot() {
    boolean available = complete && records.size() <= MAX_SNAPSHOT_RECORDS;
    return available ? Optional.of(List.copyOf(records.values())) : Optional.empty();
  }
}
