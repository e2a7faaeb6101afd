package org.radishpost.feed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The newest record of each key of one feed, once all of them are known. One thread at a time. */
final class NewestRecords {
  /** More than this a relay's link does not carry soon enough for many VMs that start at once. */
  static final int MAX_RECORDS = 2_000;

  private final Map<String, KeyedRecord> records = new HashMap<>();
  private boolean complete;

  /** Begins with the newest record of each key. */
  void begin(List<KeyedRecord> newest) {
    records.clear();
    complete = true;
    add(newest);
  }

  /** Takes the records that come next. */
  void add(List<KeyedRecord> newest) {
    if (!complete) {
      return;
    }
    for (KeyedRecord record : newest) {
      if (record.value().isPresent()) {
        records.put(record.key(), record);
      } else {
        records.remove(record.key());
      }
    }
  }

  /** Forgets all: records were missed. */
  void forget() {
    records.clear();
    complete = false;
  }

  /** Returns the newest record of each key, unless some may be missing or they are too many. */
  Optional<List<KeyedRecord>> all() {
    boolean known = complete && records.size() <= MAX_RECORDS;
    return known ? Optional.of(List.copyOf(records.values())) : Optional.empty();
  }
}
