package org.radishpost.feed;

import java.util.List;
import java.util.Optional;

/** Reads the feeds from the store, or applies the records that a relay has sent instead. */
public interface FeedReader {
  /**
   * Returns the position up to which both feeds are known; empty if a snapshot of one of them is
   * required, because it has not been read yet, or its next records or their offsets are lost.
   */
  Optional<Position> position();

  /**
   * Applies a snapshot from a relay: the latest record of each key of a feed. A snapshot that is
   * older than the current state, or of an earlier era than this VM has heard of, is ignored.
   *
   * @param feed the feed
   * @param records the latest record of each key
   * @param nextOffset the offset from which the relay sends all further records
   */
  void applySnapshot(Feed feed, List<KeyedRecord> records, TopicOffset nextOffset);

  /** Applies new records from a relay; known ones and those of another era are ignored. */
  void applyRecords(Feed feed, List<FeedRecord> records);

  /**
   * Advances to the position that a relay has reported, which is of the same eras as {@link
   * #position()}. The relay reaches the store and has sent all changes before this position.
   */
  void advanceTo(Position position);

  /** Stops reading the store. */
  void pause();

  /** Starts reading the store immediately. */
  void resume();
}
