package org.radishpost.config;

import java.time.Duration;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.radishpost.store.LogPage;

/**
 * When the snapshot stream is read, and when this VM writes a snapshot to it; not thread-safe.
 *
 * <p>A snapshot is due when the newest one is old or lacks many records. Every VM that sees this
 * waits for a random time, looks whether another VM has written one, and writes only if not. Two
 * snapshots of one state do no harm.
 */
final class SnapshotKeeper {
  private static final int PAGE_RECORDS = 4;

  private final ConfigReplicaOptions options;
  private final RandomGenerator random;
  private final Backoff backoff;
  private Step step = Step.FIRST;
  private long nextOffset = 1;
  private long newestVersion;
  private long newestMillis;
  private boolean planned;
  private long plannedNanos;

  SnapshotKeeper(ConfigReplicaOptions options, RandomGenerator random) {
    this.options = options;
    this.random = random;
    this.backoff = new Backoff(options.retryPause(), options.retryMost(), random);
  }

  /** Returns the first read, which finds out where the stream ends. */
  ConfigAction start() {
    return wanted(1, 1, Duration.ZERO);
  }

  /** Tells whether the newest snapshot has been read, or there is none. */
  boolean started() {
    return step.started;
  }

  /** Notes a snapshot on the stream. */
  void seen(long version, long atMillis) {
    if (version >= newestVersion) {
      newestVersion = version;
      newestMillis = Math.max(newestMillis, atMillis);
    }
  }

  /** Returns what to read next after an answer, if anything. */
  Optional<ConfigAction> read(LogPage page) {
    backoff.succeeded();
    long readThrough = page.records().isEmpty() ? 0 : page.records().getLast().offset();
    nextOffset = Math.max(nextOffset, Math.max(readThrough + 1, page.earliestOffset()));
    long last = page.nextOffset() - 1;
    if (nextOffset > last) {
      step = step == Step.CHECK ? Step.WRITE : Step.IDLE;
      return Optional.empty();
    }
    if (step == Step.FIRST) {
      step = Step.LAST;
      return Optional.of(wanted(last, 1, Duration.ZERO));
    }
    return Optional.of(wanted(nextOffset, PAGE_RECORDS, Duration.ZERO));
  }

  /** Returns the read to try again after a failure. */
  ConfigAction failed() {
    return wanted(nextOffset, step == Step.FIRST ? 1 : PAGE_RECORDS, backoff.failed());
  }

  /** Returns the first read of all snapshots that the log still keeps, if none is under way. */
  Optional<ConfigAction> readAll() {
    if (step != Step.IDLE) {
      return Optional.empty();
    }
    step = Step.ALL;
    nextOffset = 1;
    return Optional.of(wanted(1, PAGE_RECORDS, Duration.ZERO));
  }

  /** Returns the read that comes before a snapshot is written, once one is due. */
  Optional<ConfigAction> tick(ConfigState state, long logMillis, long nowNanos) {
    if (step != Step.IDLE || !due(state, logMillis)) {
      planned = planned && step == Step.IDLE && due(state, logMillis);
      return Optional.empty();
    }
    if (!planned) {
      planned = true;
      plannedNanos = nowNanos + random.nextLong(options.snapshotSpread().toNanos() + 1);
    }
    if (plannedNanos - nowNanos > 0) {
      return Optional.empty();
    }
    planned = false;
    step = Step.CHECK;
    return Optional.of(wanted(nextOffset, PAGE_RECORDS, Duration.ZERO));
  }

  /** Tells, once after each check, whether this VM is to write a snapshot of the state now. */
  boolean takeWrite(ConfigState state, long logMillis) {
    if (step != Step.WRITE) {
      return false;
    }
    step = due(state, logMillis) ? Step.APPEND : Step.IDLE;
    return step == Step.APPEND;
  }

  /** Notes the end of an append. */
  void appended(boolean landed, long version, long logMillis) {
    step = Step.IDLE;
    if (landed) {
      seen(version, logMillis);
    }
  }

  private boolean due(ConfigState state, long logMillis) {
    if (state.version() == 0) {
      return false;
    }
    return state.version() - newestVersion >= options.snapshotRecords()
        || logMillis - newestMillis >= options.snapshotAge().toMillis();
  }

  private static ConfigAction wanted(long from, int records, Duration pause) {
    return new ConfigAction.ReadSnapshots(from, records, pause);
  }

  private enum Step {
    FIRST(false),
    LAST(false),
    IDLE(true),
    ALL(true),
    CHECK(true),
    WRITE(true),
    APPEND(true);

    private final boolean started;

    Step(boolean started) {
      this.started = started;
    }
  }
}
