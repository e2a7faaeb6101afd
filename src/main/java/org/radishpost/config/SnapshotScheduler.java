package org.radishpost.config;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.radishpost.store.LogPage;

/**
 * Schedules the reads of the snapshot stream and the snapshots that this VM writes; not
 * thread-safe.
 *
 * <p>A snapshot is due when the newest one is too old or lacks too many records. Each VM then waits
 * for a random time, reads the stream again and writes a snapshot only if no other VM has written
 * one. Duplicate snapshots of the same state are harmless.
 */
final class SnapshotScheduler {
  private static final int MAX_RECORDS_PER_READ = 4;

  private final ConfigReplicaOptions options;
  private final RandomGenerator random;
  private final RetryBackoff backoff;
  private Phase phase = Phase.FIND_END;
  private long nextOffset = 1;
  private long newestVersion;
  private long newestLogMillis;
  private boolean writePlanned;
  private long plannedWriteNanos;

  SnapshotScheduler(ConfigReplicaOptions options, RandomGenerator random) {
    this.options = options;
    this.random = random;
    this.backoff = new RetryBackoff(options.initialRetryPause(), options.maxRetryPause(), random);
  }

  /** Returns the first read, which determines the end of the stream. */
  ConfigAction firstRead() {
    return readAction(1, 1, Duration.ZERO);
  }

  /** Returns whether the newest snapshot has been read or the stream has been found empty. */
  boolean initialReadDone() {
    return phase.initialReadDone;
  }

  /** Processes a snapshot that was found on the stream. */
  void snapshotSeen(long version, long logMillis) {
    if (version >= newestVersion) {
      newestVersion = version;
      newestLogMillis = Math.max(newestLogMillis, logMillis);
    }
  }

  /** Processes a page of the stream and returns the next read, empty at the end of the stream. */
  Optional<ConfigAction> pageRead(LogPage page) {
    backoff.reset();
    long lastReadOffset = page.records().isEmpty() ? 0 : page.records().getLast().offset();
    nextOffset = Math.max(nextOffset, Math.max(lastReadOffset + 1, page.earliestOffset()));
    long newestOffset = page.nextOffset() - 1;
    if (nextOffset > newestOffset) {
      phase = phase == Phase.CHECK_FOR_NEWER ? Phase.READY_TO_WRITE : Phase.IDLE;
      return Optional.empty();
    }
    if (phase == Phase.FIND_END) {
      phase = Phase.READ_NEWEST;
      return Optional.of(readAction(newestOffset, 1, Duration.ZERO));
    }
    return Optional.of(readAction(nextOffset, MAX_RECORDS_PER_READ, Duration.ZERO));
  }

  /** Returns the retry of a failed read. */
  ConfigAction readFailed() {
    return readAction(
        nextOffset, phase == Phase.FIND_END ? 1 : MAX_RECORDS_PER_READ, backoff.nextPause());
  }

  /** Starts reading all retained snapshots, unless a read or an append is in progress. */
  Optional<ConfigAction> readAll() {
    if (phase != Phase.IDLE) {
      return Optional.empty();
    }
    phase = Phase.READ_ALL;
    nextOffset = 1;
    return Optional.of(readAction(1, MAX_RECORDS_PER_READ, Duration.ZERO));
  }

  /** Returns the read that precedes writing a snapshot, once a snapshot is due. */
  Optional<ConfigAction> tick(ConfigState state, long logMillis, long nowNanos) {
    if (phase != Phase.IDLE || !isSnapshotDue(state, logMillis)) {
      writePlanned = writePlanned && phase == Phase.IDLE && isSnapshotDue(state, logMillis);
      return Optional.empty();
    }
    if (!writePlanned) {
      writePlanned = true;
      plannedWriteNanos = nowNanos + random.nextLong(options.maxSnapshotDelay().toNanos() + 1);
    }
    if (plannedWriteNanos - nowNanos > 0) {
      return Optional.empty();
    }
    writePlanned = false;
    phase = Phase.CHECK_FOR_NEWER;
    return Optional.of(readAction(nextOffset, MAX_RECORDS_PER_READ, Duration.ZERO));
  }

  /**
   * Returns whether this VM must write a snapshot of the state now. This is the case at most once
   * after each check for newer snapshots.
   */
  boolean startAppendIfDue(ConfigState state, long logMillis) {
    if (phase != Phase.READY_TO_WRITE) {
      return false;
    }
    phase = isSnapshotDue(state, logMillis) ? Phase.APPENDING : Phase.IDLE;
    return phase == Phase.APPENDING;
  }

  /** Processes the success or failure of an append. */
  void appendEnded(boolean confirmed, long version, long logMillis) {
    phase = Phase.IDLE;
    if (confirmed) {
      snapshotSeen(version, logMillis);
    }
  }

  private boolean isSnapshotDue(ConfigState state, long logMillis) {
    if (state.version() == 0) {
      return false;
    }
    return state.version() - newestVersion >= options.recordsPerSnapshot()
        || logMillis - newestLogMillis >= options.snapshotAge().toMillis();
  }

  private static ConfigAction readAction(long fromOffset, int maxRecords, Duration pause) {
    return new ConfigAction.ReadSnapshots(fromOffset, maxRecords, pause);
  }

  private enum Phase {
    FIND_END(false),
    READ_NEWEST(false),
    IDLE(true),
    READ_ALL(true),
    CHECK_FOR_NEWER(true),
    READY_TO_WRITE(true),
    APPENDING(true);

    private final boolean initialReadDone;

    Phase(boolean initialReadDone) {
      this.initialReadDone = initialReadDone;
    }
  }
}
