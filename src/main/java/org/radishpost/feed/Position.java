package org.radishpost.feed;

/**
 * The next offset of each feed: all records before these offsets are known.
 *
 * @param operators the offset of the next record of {@link Feed#OPERATORS}
 * @param targets the offset of the next record of {@link Feed#TARGETS}
 */
public record Position(TopicOffset operators, TopicOffset targets) {
  /** Returns whether the offsets of both feeds were assigned in the same era as the other's. */
  public boolean sameEras(Position other) {
    return operators.sameEra(other.operators) && targets.sameEra(other.targets);
  }

  /**
   * Returns whether all records before the other position lie before this one too; not known, and
   * so false, if the positions are of different eras.
   */
  public boolean covers(Position other) {
    return sameEras(other)
        && !operators.isBefore(other.operators)
        && !targets.isBefore(other.targets);
  }

  /** Returns the offsets of both feeds, separated by a comma. */
  @Override
  public String toString() {
    return operators + "," + targets;
  }
}
