package org.radishpost.feed;

import java.util.List;
import java.util.Optional;

/** Reads the feeds from the store, or applies the records that a relay has sent instead. */
public interface FeedReader {
  /** Returns the position up to which both feeds are known; empty until both have been read. */
  Optional<Position> position();

  /**
   * Applies a snapshot from a relay: the latest record of each key of a feed. A snapshot that is
   * older than the current state is ignored.
   *
   * @param feed the feed
   * @param records the latest record of each key
   * @param nextOffset the offset from which the relay sends all further records
   */
  void applySnapshot(Feed feed, List<KeyedRecord> records, long nextOffset);

  /** Applies new records from a relay; records that are already known are ignored. */
  void applyRecords(Feed feed, List<KeyedRecord> records);

  /**
   * Advances to the position that a relay has reported. The relay reaches the store and has sent
   * all changes before this position.
   */
  void advanceTo(Position position);

  /** Stops reading the store. */
  void pause();

  /** Starts reading the store immediately. */
  void resume();
}
