package org.radishpost.feed;

import java.util.List;

/** Takes what a VM reads from the store, so that others can have it too. */
public interface FeedPublisher {
  /**
   * Takes the records that come next.
   *
   * @param feed the feed
   * @param records all that came
   * @param changes those among them that change something
   * @param nextOffset the offset of the record that follows them
   */
  void publishRecords(
      Feed feed, List<KeyedRecord> records, List<KeyedRecord> changes, long nextOffset);

  /**
   * Takes the newest record of each key.
   *
   * @param feed the feed
   * @param snapshot the records
   * @param nextOffset the offset from which on all records will be published
   */
  void publishSnapshot(Feed feed, List<KeyedRecord> snapshot, long nextOffset);

  /**
   * Takes note that the records before an offset were not read one by one.
   *
   * @param feed the feed
   * @param nextOffset the offset from which on all records will be published
   */
  void resetTo(Feed feed, long nextOffset);
}
