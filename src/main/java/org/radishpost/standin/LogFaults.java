package org.radishpost.standin;

import java.time.Duration;

/**
 * What is wrong with the log's stand-in; immutable.
 *
 * @param down whether every request fails without effect
 * @param delay how much longer each answer takes
 * @param lostAppendResponses how many of the next appends take effect without an answer
 * @param lostAppends how many of the next appends are lost with the same error, without effect
 */
public record LogFaults(boolean down, Duration delay, int lostAppendResponses, int lostAppends) {
  /** Nothing is wrong. */
  public static final LogFaults NONE = new LogFaults(false, Duration.ZERO, 0, 0);

  /** Returns the same faults with one lost answer fewer. */
  LogFaults withOneLostResponseFewer() {
    return new LogFaults(down, delay, lostAppendResponses - 1, lostAppends);
  }

  /** Returns the same faults with one lost append fewer. */
  LogFaults withOneLostAppendFewer() {
    return new LogFaults(down, delay, lostAppendResponses, lostAppends - 1);
  }
}
