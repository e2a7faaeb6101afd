package org.radishpost.link;

import java.util.BitSet;

/** Sliding window of used sequence numbers, for replay protection; thread-safe. */
final class ReplayWindow {
  /** Sequence numbers this far or further below the highest one are rejected as used. */
  static final int WIDTH = 16_384;

  private final BitSet used = new BitSet(WIDTH);
  private long highest;

  /**
   * Marks the sequence number as used; returns false if it was used before or is below the window.
   */
  synchronized boolean markUsed(long sequence) {
    if (sequence < 1 || sequence <= highest - WIDTH) {
      return false;
    }
    if (sequence > highest) {
      advanceTo(sequence);
      highest = sequence;
    }
    int index = index(sequence);
    if (used.get(index)) {
      return false;
    }
    used.set(index);
    return true;
  }

  private void advanceTo(long sequence) {
    if (sequence - highest >= WIDTH) {
      used.clear();
      return;
    }
    for (long skipped = highest + 1; skipped <= sequence; skipped++) {
      used.clear(index(skipped));
    }
  }

  private static int index(long sequence) {
    return (int) (sequence % WIDTH);
  }
}
