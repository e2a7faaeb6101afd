package org.radishpost.placement;

import java.time.Duration;
import java.util.Optional;

/**
 * A target with all that this VM knows of its state.
 *
 * <p>Confined to one thread. Times are in nanoseconds on the runtime's monotonic clock.
 */
public final class TrackedTarget {
  private static final double FAILURE_KEPT_PER_SUCCESS = 0.6;
  private static final double SUSPECT_SCORE = 0.9;
  private static final long FAILURE_HALF_LIFE_NANOS = 2_000_000_000L;
  private static final long PROOF_OF_LIFE_NANOS = 100_000_000L;
  private static final long FIRST_PAUSE_NANOS = 250_000_000L;
  private static final int MAX_PAUSE_DOUBLINGS = 3;

  private Target target;
  private Optional<LoadSample> sample = Optional.empty();
  private long sampleNanos;
  private int sentSinceSample;
  private int inFlight;
  private long coldUntilNanos;
  private double failureScore;
  private long failureNanos;
  private int unreachableInRow;
  private long pausedUntilNanos;
  private boolean doubtful;

  TrackedTarget(Target target, long nowNanos) {
    this.target = target;
    this.coldUntilNanos = nowNanos + target.coldLeft().toNanos();
    this.failureNanos = nowNanos;
    this.pausedUntilNanos = nowNanos;
    this.sampleNanos = nowNanos;
  }

  /** Returns the target as it has registered itself. */
  public Target target() {
    return target;
  }

  /** Takes a newer entry of the same target. */
  void registered(Target newer, long nowNanos) {
    if (!newer.sameLifetime(target)) {
      sample = Optional.empty();
      failureScore = 0;
      unreachableInRow = 0;
      pausedUntilNanos = nowNanos;
    }
    target = newer;
    coldUntilNanos = Math.max(coldUntilNanos, nowNanos + newer.coldLeft().toNanos());
  }

  /** Sets whether the target's entry is missing and may come back. */
  void doubtful(boolean value) {
    doubtful = value;
  }

  /**
   * Tells whether the target may be used at all: one whose entry is missing must have said lately
   * that it is well, as it may have left.
   */
  boolean usable(long nowNanos) {
    return !doubtful || sample(PROOF_OF_LIFE_NANOS, nowNanos).isPresent();
  }

  /** Takes what the target has said of its load just now. */
  public void sampled(LoadSample newest, long nowNanos) {
    sample = Optional.of(newest);
    sampleNanos = nowNanos;
    sentSinceSample = 0;
    unreachableInRow = 0;
  }

  /** Takes how much longer the target says it stays cold. */
  public void reportedCold(Duration left, long nowNanos) {
    coldUntilNanos = nowNanos + left.toNanos();
  }

  /** Takes note of a call that is sent now. */
  public void sent() {
    inFlight++;
    sentSinceSample++;
  }

  /** Takes note that a sent call has ended, however it did. */
  public void ended() {
    inFlight--;
  }

  /** Takes note of an answer that is no failure. */
  public void succeeded() {
    failureScore *= FAILURE_KEPT_PER_SUCCESS;
    unreachableInRow = 0;
  }

  /** Takes note of a call that failed after it had been sent. */
  public void failed(long nowNanos) {
    failureScore = failureScore(nowNanos) + 1;
    failureNanos = nowNanos;
  }

  /** Takes note that the target doesn't answer or says that it isn't well: it gets a pause. */
  public void unreachable(long nowNanos) {
    sample = Optional.empty();
    int doublings = Math.min(unreachableInRow, MAX_PAUSE_DOUBLINGS);
    unreachableInRow++;
    pausedUntilNanos = nowNanos + (FIRST_PAUSE_NANOS << doublings);
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
    return nowNanos - pausedUntilNanos < 0 || failureScore(nowNanos) > SUSPECT_SCORE;
  }

  private double failureScore(long nowNanos) {
    double halfLives = (double) (nowNanos - failureNanos) / FAILURE_HALF_LIFE_NANOS;
    return failureScore * Math.pow(0.5, halfLives);
  }
}
