package org.radishpost.link;

import java.util.BitSet;

/** Remembers which numbers were used, for a window below the greatest; thread-safe. */
final class ReplayWindow {
  /** Numbers this far below the greatest are taken for used. */
  static final int WIDTH = 16_384;

  private final BitSet used = new BitSet(WIDTH);
  private long greatest;

  /** Tells whether the number was never used, and marks it as used. */
  synchronized boolean take(long number) {
    if (number < 1 || number <= greatest - WIDTH) {
      return false;
    }
    if (number > greatest) {
      forget(number);
      greatest = number;
    }
    int slot = slot(number);
    if (used.get(slot)) {
      return false;
    }
    used.set(slot);
    return true;
  }

  private void forget(long number) {
    if (number - greatest >= WIDTH) {
      used.clear();
      return;
    }
    for (long passed = greatest + 1; passed <= number; passed++) {
      used.clear(slot(passed));
    }
  }

  private static int slot(long number) {
    return (int) (number % WIDTH);
  }
}
