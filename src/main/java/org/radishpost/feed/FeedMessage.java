package org.radishpost.feed;

import java.util.List;
import org.radishpost.lib.Place;
import org.radishpost.slots.SlotMessage;
import org.radishpost.suspects.CrashUpdate;

/** A message between a relay and another VM. */
public sealed interface FeedMessage {
  /**
   * The first message that a relay sends on a connection.
   *
   * @param place the region and zone of the relay
   */
  record Hello(Place place) implements FeedMessage {}

  /**
   * Subscribes to all records from a position onwards.
   *
   * @param from the position of the follower
   */
  record Subscribe(Position from) implements FeedMessage {}

  /** Subscribes to both feeds and requests a snapshot of each; sent by a follower without data. */
  record SubscribeWithSnapshot() implements FeedMessage {}

  /**
   * The latest record of each key of a feed.
   *
   * @param feed the feed
   * @param records the records, in any order
   * @param nextOffset the offset from which all further records are sent as {@link Records}
   */
  record Snapshot(Feed feed, List<KeyedRecord> records, TopicOffset nextOffset)
      implements FeedMessage {
    /** Creates a message with an immutable copy of the list. */
    public Snapshot {
      records = List.copyOf(records);
    }
  }

  /**
   * The periodic heartbeat of a relay.
   *
   * @param storeReachable whether the store has responded to the relay recently
   * @param position the position of the relay
   * @param allSent whether all changes before that position have been sent on this connection;
   *     false until the relay has accepted the subscription
   */
  record Heartbeat(boolean storeReachable, Position position, boolean allSent)
      implements FeedMessage {}

  /**
   * New records of a feed, without those that are older than what was known.
   *
   * @param feed the feed
   * @param records the records in ascending order of offset, with gaps for omitted records
   */
  record Records(Feed feed, List<FeedRecord> records) implements FeedMessage {
    /** Creates a message with an immutable copy of the list. */
    public Records {
      records = List.copyOf(records);
    }
  }

  /**
   * A message between a VM and the broker of slots on a relay. On connections opened for such
   * messages only {@link Crashes} are sent besides.
   *
   * @param message the message
   */
  record Slots(SlotMessage message) implements FeedMessage {}

  /**
   * What the sender knows of crashed targets and of the requests that were lost. Both ends send it,
   * on connections that are used for slots.
   *
   * @param update the crashes and the requests that they no longer count for
   */
  record Crashes(CrashUpdate update) implements FeedMessage {}
}
