package org.radishpost.config;

import java.time.Duration;

/**
 * Bounds and intervals of one replica of the configuration.
 *
 * @param retention how long the platform's log keeps records, at most
 * @param longPoll how long a read of the log may wait for a record
 * @param maxRecordsPerRead the most records of one read
 * @param initialRetryPause the pause after the first failure of the log; it doubles up to {@code
 *     retryMost}
 * @param maxRetryPause the longest pause after a failure of the log
 * @param peerRequestDelay how long the replica waits for the log, when it knows of a newer version,
 *     before it asks a peer
 * @param logTimeout the silence of the log after which it counts as out of reach
 * @param recordsPerSnapshot the records after which a snapshot is due
 * @param maxSnapshotDelay the longest random pause before a due snapshot is written
 * @param tickInterval the time between two ticks
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
  /** A snapshot is due when this share of the retention has passed since the last one. */
  private static final int SNAPSHOTS_PER_RETENTION = 4;

  /** What a VM uses for a log that keeps records for the given time. */
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
