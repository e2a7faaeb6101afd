package org.radishpost.feed;

/** Offsets of the first era of the store, for tests that concern one era only. */
public final class TestOffsets {
  private TestOffsets() {}

  /** Returns an offset of era 1. */
  public static TopicOffset at(long offset) {
    return new TopicOffset(1, offset);
  }

  /** Returns a position of era 1. */
  static Position position(long operators, long targets) {
    return new Position(at(operators), at(targets));
  }
}
