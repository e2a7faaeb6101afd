package org.radishpost.feed;

import java.util.List;

/** Receives the records that a VM reads from the store, in order to forward them to other VMs. */
public interface FeedPublisher {
  /**
   * Publishes the next records of a feed.
   *
   * @param feed the feed
   * @param records all records that were read
   * @param changes the subset of these records that changed the state
   * @param nextOffset the offset of the record after the last one
   */
  void publishRecords(
      Feed feed, List<KeyedRecord> records, List<KeyedRecord> changes, TopicOffset nextOffset);

  /**
   * Publishes the latest record of each key of a feed.
   *
   * @param feed the feed
   * @param snapshot the records
   * @param nextOffset the offset from which all records will be published
   */
  void publishSnapshot(Feed feed, List<KeyedRecord> snapshot, TopicOffset nextOffset);

  /**
   * Restarts a feed at an offset because records before this offset were not published.
   *
   * @param feed the feed
   * @param nextOffset the offset from which all records will be published
   */
  void resetTo(Feed feed, TopicOffset nextOffset);
}
