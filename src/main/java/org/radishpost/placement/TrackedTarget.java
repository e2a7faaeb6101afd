package org.radishpost.placement;

import java.time.Duration;
import java.util.Optional;

/**
 * A target with all that this VM knows of its state.
 *
 * <p>Confined to one thread. Times are in nanoseconds on the runtime's monotonic clock.
 */
public final class TrackedTarget {
  private static final double FAILURE_DECAY_PER_SUCCESS = 0.6;
  private static final double MAX_FAILURE_SCORE = 0.9;
  private static final long FAILURE_HALF_LIFE_NANOS = 2_000_000_000L;
  private static final long MISSING_ENTRY_SAMPLE_AGE_NANOS = 100_000_000L;
  private static final long INITIAL_BACKOFF_NANOS = 250_000_000L;
  private static final int MAX_BACKOFF_DOUBLINGS = 3;

  private Target target;
  private Optional<LoadSample> sample = Optional.empty();
  private long sampleNanos;
  private int sentSinceSample;
  private int inFlight;
  private long coldUntilNanos;
  private double failureScore;
  private long lastFailureNanos;
  private int consecutiveUnreachable;
  private long backoffUntilNanos;
  private boolean entryMissing;

  TrackedTarget(Target target, long nowNanos) {
    this.target = target;
    this.coldUntilNanos = nowNanos + target.coldRemaining().toNanos();
    this.lastFailureNanos = nowNanos;
    this.backoffUntilNanos = nowNanos;
    this.sampleNanos = nowNanos;
  }

  /** Returns the target as it has registered itself. */
  public Target target() {
    return target;
  }

  /** Takes a newer entry of the same target. */
  void update(Target newer, long nowNanos) {
    if (!newer.sameIncarnation(target)) {
      sample = Optional.empty();
      failureScore = 0;
      consecutiveUnreachable = 0;
      backoffUntilNanos = nowNanos;
    }
    target = newer;
    coldUntilNanos = Math.max(coldUntilNanos, nowNanos + newer.coldRemaining().toNanos());
  }

  /** Sets whether the target's entry is missing and may come back. */
  void setEntryMissing(boolean value) {
    entryMissing = value;
  }

  /**
   * Tells whether the target may be used at all: one whose entry is missing must have said lately
   * that it is well, as it may have left.
   */
  boolean usable(long nowNanos) {
    return !entryMissing || sample(MISSING_ENTRY_SAMPLE_AGE_NANOS, nowNanos).isPresent();
  }

  /** Takes what the target has said of its load just now. */
  public void recordSample(LoadSample newest, long nowNanos) {
    sample = Optional.of(newest);
    sampleNanos = nowNanos;
    sentSinceSample = 0;
    consecutiveUnreachable = 0;
  }

  /** Takes how much longer the target says it stays cold. */
  public void updateColdRemaining(Duration remaining, long nowNanos) {
    coldUntilNanos = nowNanos + remaining.toNanos();
  }

  /** Takes note of a call that is sent now. */
  public void recordSend() {
    inFlight++;
    sentSinceSample++;
  }

  /** Takes note that a sent call has ended, however it did. */
  public void recordEnd() {
    inFlight--;
  }

  /** Takes note of an answer that is no failure. */
  public void recordSuccess() {
    failureScore *= FAILURE_DECAY_PER_SUCCESS;
    consecutiveUnreachable = 0;
  }

  /** Takes note of a call that failed after it had been sent. */
  public void recordFailure(long nowNanos) {
    failureScore = failureScore(nowNanos) + 1;
    lastFailureNanos = nowNanos;
  }

  /** Takes note that the target doesn't answer or says that it isn't well: it gets a pause. */
  public void recordUnreachable(long nowNanos) {
    sample = Optional.empty();
    int doublings = Math.min(consecutiveUnreachable, MAX_BACKOFF_DOUBLINGS);
    consecutiveUnreachable++;
    backoffUntilNanos = nowNanos + (INITIAL_BACKOFF_NANOS << doublings);
  }

  /** Returns what the target last said, if it was said within the given time. */
  public Optional<LoadSample> sample(long maxAgeNanos, long nowNanos) {
    return sample.filter(known -> nowNanos - sampleNanos <= maxAgeNanos);
  }

  /** Returns what the target last said, however long ago. */
  public Optional<LoadSample> lastSample() {
    return sample;
  }

  /** Returns how old the last sample is. */
  public long sampleAgeNanos(long nowNanos) {
    return nowNanos - sampleNanos;
  }

  /** Returns the calls of this VM that the last sample can't have counted. */
  public int sentSinceSample() {
    return sentSinceSample;
  }

  /** Returns the calls that this VM has at the target. */
  public int inFlight() {
    return inFlight;
  }

  /** Tells whether the target is cold. */
  public boolean cold(long nowNanos) {
    return nowNanos - coldUntilNanos < 0;
  }

  /** Tells whether the target is given a pause, or has failed too much lately. */
  public boolean suspended(long nowNanos) {
    return nowNanos - backoffUntilNanos < 0 || failureScore(nowNanos) > MAX_FAILURE_SCORE;
  }

  private double failureScore(long nowNanos) {
    double halfLives = (double) (nowNanos - lastFailureNanos) / FAILURE_HALF_LIFE_NANOS;
    return failureScore * Math.pow(0.5, halfLives);
  }
}
