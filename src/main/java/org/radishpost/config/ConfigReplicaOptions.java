package org.radishpost.config;

import java.time.Duration;

/**
 * Bounds and intervals of one replica of the configuration.
 *
 * @param retention how long the platform's log keeps records, at most
 * @param readWait how long a read of the log may wait for a record
 * @param readRecords the most records of one read
 * @param retryPause the pause after the first failure of the log; it doubles up to {@code
 *     retryMost}
 * @param retryMost the longest pause after a failure of the log
 * @param behindLimit how long the replica waits for the log, when it knows of a newer version,
 *     before it asks a peer
 * @param silenceLimit the silence of the log after which it counts as out of reach
 * @param snapshotRecords the records after which a snapshot is due
 * @param snapshotSpread the longest random pause before a due snapshot is written
 * @param tick the time between two ticks
 */
public record ConfigReplicaOptions(
    Duration retention,
    Duration readWait,
    int readRecords,
    Duration retryPause,
    Duration retryMost,
    Duration behindLimit,
    Duration silenceLimit,
    int snapshotRecords,
    Duration snapshotSpread,
    Duration tick) {
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
