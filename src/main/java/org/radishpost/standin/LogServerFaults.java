package org.radishpost.standin;

import java.time.Duration;

/**
 * The JSON form of everything that can be wrong with {@link LogServer}; immutable.
 *
 * @param down whether the log refuses every request
 * @param silent whether the log takes requests and never answers
 * @param delayMillis how much longer each answer of the log takes
 * @param lostAppendAnswers how many of the next appends take effect without an answer
 * @param lostAppends how many of the next appends are lost without effect and without an answer
 * @param retentionMillis how long records are kept, absent to leave it
 * @param appendsPerSecond how many appends of one second the log takes, 0 for no bound
 * @param vmListDown whether the list of VMs refuses every request
 * @param vmListLagMillis how old the list of VMs is
 */
public record LogServerFaults(
    boolean down,
    boolean silent,
    long delayMillis,
    int lostAppendAnswers,
    int lostAppends,
    Long retentionMillis,
    int appendsPerSecond,
    boolean vmListDown,
    long vmListLagMillis) {

  /** Returns the part that concerns the log. */
  LogFaults logFaults() {
    return new LogFaults(down, Duration.ofMillis(delayMillis), lostAppendAnswers, lostAppends);
  }
}
