package org.radishpost.feed;

import java.util.List;
import java.util.Optional;

/** The reading of the store, as a follower needs it. */
public interface FeedReader {
  /** Returns how far the feeds are known, or nothing while one of them has not been read. */
  Optional<Position> position();

  /**
   * Takes the newest record of each key of a feed from a relay, in place of the store's; left out
   * if more is known already.
   */
  void applySnapshot(Feed feed, List<KeyedRecord> records, long nextOffset);

  /** Takes records that a relay has passed on; those that are known already are left out. */
  void applyRecords(Feed feed, List<KeyedRecord> records);

  /** Takes note that nothing is missing before the position, and that the store is reached. */
  void advanceTo(Position position);

  /** Ends reading the store. */
  void pause();

  /** Begins to read the store again, at once. */
  void resume();
}
