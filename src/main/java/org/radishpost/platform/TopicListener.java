package org.radishpost.platform;

import java.util.List;
import org.radishpost.feed.KeyedRecord;

/** Receives the records of a keyed topic. */
interface TopicListener {
  /** Handles the latest record of each key; all other keys have been deleted. */
  void onSnapshot(List<KeyedRecord> records);

  /**
   * Handles the latest record of each key after the store was restored from an earlier copy. Keys
   * may be missing, or have an older value than before, until their writers have written them
   * again.
   */
  default void onRestoredSnapshot(List<KeyedRecord> records) {
    onSnapshot(records);
  }

  /** Handles the next record and returns whether it changed the state. */
  boolean onRecord(KeyedRecord record);

  /** Called when the store stops responding. */
  default void onStoreLost() {}

  /** Called when the store responds again, before the records in its response are handled. */
  default void onStoreRegained() {}
}
