package org.radishpost.standin;

import java.time.Duration;

/**
 * The faults of the log stand-in. Immutable.
 *
 * @param down whether every request fails and has no effect
 * @param delay the additional delay of each response
 * @param lostAppendResponses the number of following appends that take effect but whose response is
 *     lost
 * @param lostAppends the number of following appends that fail like a lost response but have no
 *     effect
 */
public record LogFaults(boolean down, Duration delay, int lostAppendResponses, int lostAppends) {
  /** No faults. */
  public static final LogFaults NONE = new LogFaults(false, Duration.ZERO, 0, 0);

  /** Returns a copy with one lost response fewer. */
  LogFaults withOneLostResponseFewer() {
    return new LogFaults(down, delay, lostAppendResponses - 1, lostAppends);
  }

  /** Returns a copy with one lost append fewer. */
  LogFaults withOneLostAppendFewer() {
    return new LogFaults(down, delay, lostAppendResponses, lostAppends - 1);
  }
}
