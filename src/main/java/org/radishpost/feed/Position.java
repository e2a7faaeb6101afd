package org.radishpost.feed;

/**
 * The next offset of each feed: all records before these offsets are known.
 *
 * @param operatorsOffset the offset of the next record of {@link Feed#OPERATORS}
 * @param targetsOffset the offset of the next record of {@link Feed#TARGETS}
 */
public record Position(long operatorsOffset, long targetsOffset) {
  /** Returns the offset of the next record of a feed. */
  public long nextOffset(Feed feed) {
    return switch (feed) {
      case OPERATORS -> operatorsOffset;
      case TARGETS -> targetsOffset;
    };
  }

  /** Returns whether both offsets are at least those of the other position. */
  public boolean covers(Position other) {
    return operatorsOffset >= other.operatorsOffset && targetsOffset >= other.targetsOffset;
  }
}
