package org.radishpost.platform;

import java.util.List;
import java.util.Optional;
import org.radishpost.feed.FeedRecord;
import org.radishpost.feed.KeyedRecord;

/** Receives the records of a keyed topic. */
interface TopicListener {
  /**
   * Handles the latest record of each key; all other keys have been deleted.
   *
   * @return the records without those that are older than what was known
   */
  List<KeyedRecord> onSnapshot(List<KeyedRecord> records);

  /**
   * Handles the latest record of each key after the store was restored from an earlier copy. Keys
   * may be missing, or have an older value than before, until their writers have written them
   * again.
   *
   * @return the records without those that are older than what was known
   */
  default List<KeyedRecord> onRestoredSnapshot(List<KeyedRecord> records) {
    return onSnapshot(records);
  }

  /**
   * Handles the next record.
   *
   * @return what a VM that follows this one needs of the record; empty if the record is older than
   *     what was known
   */
  Optional<FeedRecord> onRecord(FeedRecord record);

  /** Called when the store stops responding. */
  default void onStoreLost() {}

  /** Called when the store responds again, before the records in its response are handled. */
  default void onStoreRegained() {}
}
