package org.radishpost.feed;

/** A record of a feed, whole or as a relay forwards it. */
public sealed interface FeedRecord permits KeyedRecord, RenewalRecord {
  /** Returns the offset of the record in the feed. */
  TopicOffset offset();

  /** Returns the key of the record. */
  String key();
}
