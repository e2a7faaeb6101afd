package org.radishpost.platform;

import java.util.List;
import org.radishpost.feed.KeyedRecord;

/** Told of what is read from a keyed topic. */
interface TopicListener {
  /** Takes the newest record of each key: keys without one are dropped. */
  void onSnapshot(List<KeyedRecord> records);

  /** Takes the record that comes next; tells whether it changes anything. */
  boolean onRecord(KeyedRecord record);

  /** Takes note that the store doesn't answer. */
  default void onStoreLost() {}

  /** Takes note that the store answers again, before what it says. */
  default void onStoreRegained() {}
}
