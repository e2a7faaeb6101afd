package org.radishpost.feed;

import java.util.List;

/** Receives the records that a VM reads from the store, in order to forward them to other VMs. */
public interface FeedPublisher {
  /**
   * Publishes the next records of a feed.
   *
   * @param feed the feed
   * @param records the records that were read, without those that are older than what was known
   * @param forwarded what followers need of these records
   * @param nextOffset the offset of the record after the last one that was read
   */
  void publishRecords(
      Feed feed,
      List<KeyedRecord> records,
      List<? extends FeedRecord> forwarded,
      TopicOffset nextOffset);

  /**
   * Publishes the latest record of each key of a feed.
   *
   * @param feed the feed
   * @param snapshot the records, without those that are older than what was known
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
