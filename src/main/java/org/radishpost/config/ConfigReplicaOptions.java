package org.radishpost.config;

import java.time.Duration;

/**
 * Limits and intervals of a {@link ConfigReplica}.
 *
 * @param retention the maximum time for which the log keeps records
 * @param longPoll the maximum time that a read of the log waits for a record
 * @param maxRecordsPerRead the maximum number of records in one read
 * @param initialRetryPause the pause after the first failed access to the log; doubles with each
 *     further failure up to {@code maxRetryPause}
 * @param maxRetryPause the maximum pause after a failed access to the log
 * @param peerRequestDelay how long the replica waits for a newer version from the log before it
 *     requests records from a peer
 * @param logTimeout the time without a successful read after which the log counts as unreachable
 * @param recordsPerSnapshot the number of records after the newest snapshot at which another one is
 *     due
 * @param maxSnapshotDelay the maximum random delay before a due snapshot is written
 * @param tickInterval the interval of {@link ConfigEvent.Tick}
 */
public record ConfigReplicaOptions(
    Duration retention,
    Duration longPoll,
    int maxRecordsPerRead,
    Duration initialRetryPause,
    Duration maxRetryPause,
    Duration peerRequestDelay,
    Duration logTimeout,
    int recordsPerSnapshot,
    Duration maxSnapshotDelay,
    Duration tickInterval) {
  /** The minimum number of snapshots written during one retention period. */
  private static final int SNAPSHOTS_PER_RETENTION = 4;

  /** Returns the default options for a log with the given retention. */
  public static ConfigReplicaOptions forRetention(Duration retention) {
    return new ConfigReplicaOptions(
        retention,
        Duration.ofSeconds(5),
        500,
        Duration.ofMillis(100),
        Duration.ofSeconds(2),
        Duration.ofMillis(250),
        Duration.ofSeconds(15),
        500,
        retention.dividedBy(SNAPSHOTS_PER_RETENTION * SNAPSHOTS_PER_RETENTION),
        Duration.ofMillis(100));
  }

  /** Returns the age of the newest snapshot at which another one is due. */
  Duration snapshotAge() {
    return retention.dividedBy(SNAPSHOTS_PER_RETENTION);
  }
}
