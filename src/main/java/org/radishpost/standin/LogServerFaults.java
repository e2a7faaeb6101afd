package org.radishpost.standin;

import java.time.Duration;

/**
 * The faults of {@link LogServer}, as read from and written to JSON. Immutable.
 *
 * @param down whether the log rejects every request
 * @param silent whether the log accepts requests but never responds
 * @param delayMillis the additional delay of each response of the log, in milliseconds
 * @param lostAppendAnswers the number of following appends that take effect but whose response is
 *     lost
 * @param lostAppends the number of following appends that are lost without effect and without a
 *     response
 * @param retentionMillis the retention time of records in milliseconds; null leaves it unchanged
 * @param appendsPerSecond the maximum number of appends per second; 0 for no limit
 * @param vmListDown whether the list of VMs rejects every request
 * @param vmListLagMillis the age of the returned list of VMs, in milliseconds
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

  /** Returns the faults that concern the in-memory log. */
  LogFaults logFaults() {
    return new LogFaults(down, Duration.ofMillis(delayMillis), lostAppendAnswers, lostAppends);
  }
}
