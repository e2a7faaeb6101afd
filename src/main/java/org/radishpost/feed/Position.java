package org.radishpost.feed;

/**
 * How far both feeds are known.
 *
 * @param operators the offset of the operators' next record
 * @param targets the offset of the targets' next record
 */
public record Position(long operators, long targets) {
  /** Returns the offset of a feed's next record. */
  public long next(Feed feed) {
    return switch (feed) {
      case OPERATORS -> operators;
      case TARGETS -> targets;
    };
  }

  /** Tells whether nothing is missing here that is known at the other position. */
  public boolean covers(Position other) {
    return operators >= other.operators && targets >= other.targets;
  }
}
