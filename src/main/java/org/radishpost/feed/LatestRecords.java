package org.radishpost.feed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The newest record of each key of one feed, once all of them are known. One thread at a time. */
final class LatestRecords {
  /** More than this a relay's link does not carry soon enough for many VMs that start at once. */
  static final int MAX_SNAPSHOT_RECORDS = 2_000;

  private final Map<String, KeyedRecord> records = new HashMap<>();
  private boolean complete;

  /** Begins with the newest record of each key. */
  void reset(List<KeyedRecord> snapshot) {
    records.clear();
    complete = true;
    add(snapshot);
  }

  /** Takes the records that come next. */
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

  /** Forgets all: records were missed. */
  void clear() {
    records.clear();
    complete = false;
  }

  /** Returns the newest record of each key, unless some may be missing or they are too many. */
  Optional<List<KeyedRecord>> snapshot() {
    boolean available = complete && records.size() <= MAX_SNAPSHOT_RECORDS;
    return available ? Optional.of(List.copyOf(records.values())) : Optional.empty();
  }
}
