package org.radishpost.link;

import java.util.BitSet;

/** Remembers which numbers were used, for a window below the greatest; thread-safe. */
final class ReplayWindow {
  /** Numbers this far below the greatest are taken for used. */
  static final int WIDTH = 16_384;

  private final BitSet used = new BitSet(WIDTH);
  private long highest;

  /** Tells whether the number was never used, and marks it as used. */
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
