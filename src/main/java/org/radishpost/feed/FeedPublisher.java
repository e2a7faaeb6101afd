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
   * @param next the offset of the record that follows them
   */
  void published(Feed feed, List<KeyedRecord> records, List<KeyedRecord> changes, long next);

  /**
   * Takes the newest record of each key.
   *
   * @param feed the feed
   * @param newest the records
   * @param next the offset from which on all records will be published
   */
  void began(Feed feed, List<KeyedRecord> newest, long next);

  /**
   * Takes note that the records before an offset were not read one by one.
   *
   * @param feed the feed
   * @param next the offset from which on all records will be published
   */
  void restarted(Feed feed, long next);
}
