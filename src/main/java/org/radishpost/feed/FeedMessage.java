package org.radishpost.feed;

import java.util.List;
import org.radishpost.lib.Place;

/** A message between a relay and a VM that follows it. */
public sealed interface FeedMessage {
  /**
   * The relay's first message.
   *
   * @param place where the relay runs
   */
  record Hello(Place place) implements FeedMessage {}

  /**
   * Asks the relay for all records from a position on.
   *
   * @param from how far the follower knows the feeds
   */
  record Subscribe(Position from) implements FeedMessage {}

  /** Asks the relay for all that it knows; the follower knows nothing yet. */
  record SubscribeWithSnapshot() implements FeedMessage {}

  /**
   * The newest record of each key of a feed.
   *
   * @param feed the feed
   * @param records the records, in no order
   * @param nextOffset the offset from which on records follow one by one
   */
  record Snapshot(Feed feed, List<KeyedRecord> records, long nextOffset) implements FeedMessage {
    /** Copies the list. */
    public Snapshot {
      records = List.copyOf(records);
    }
  }

  /**
   * The relay's heartbeat.
   *
   * @param storeReachable whether the relay has heard from the store just now
   * @param position how far the relay knows the feeds
   * @param allSent whether all that matters before that position was sent on this connection; not
   *     so before the relay has taken the subscription
   */
  record Heartbeat(boolean storeReachable, Position position, boolean allSent)
      implements FeedMessage {}

  /**
   * Records that change something.
   *
   * @param feed the feed that they belong to
   * @param records the records in their order, with gaps where nothing changes
   */
  record Records(Feed feed, List<KeyedRecord> records) implements FeedMessage {
    /** Copies the list. */
    public Records {
      records = List.copyOf(records);
    }
  }
}
