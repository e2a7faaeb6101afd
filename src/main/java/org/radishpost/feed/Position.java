package org.radishpost.feed;

/**
 * How far both feeds are known.
 *
 * @param operatorsOffset the offset of the operators' next record
 * @param targetsOffset the offset of the targets' next record
 */
public record Position(long operatorsOffset, long targetsOffset) {
  /** Returns the offset of a feed's next record. */
  public long nextOffset(Feed feed) {
    return switch (feed) {
      case OPERATORS -> operatorsOffset;
      case TARGETS -> targetsOffset;
    };
  }

  /** Tells whether nothing is missing here that is known at the other position. */
  public boolean covers(Position other) {
    return operatorsOffset >= other.operatorsOffset && targetsOffset >= other.targetsOffset;
  }
}
