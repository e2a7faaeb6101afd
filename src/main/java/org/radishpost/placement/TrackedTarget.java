package org.radishpost.placement;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A target together with its state as observed by this VM.
 *
 * <p>Confined to one thread. Times are in nanoseconds on the runtime's monotonic clock.
 */
public final class TrackedTarget {
  private static final double FAILURE_DECAY_PER_SUCCESS = 0.6;
  private static final double MAX_FAILURE_SCORE = 0.9;
  private static final long FAILURE_HALF_LIFE_NANOS = 2_000_000_000L;
  private static final long MISSING_ENTRY_MAX_SAMPLE_AGE_NANOS = 100_000_000L;
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
  private OptionalLong probeSentNanos = OptionalLong.empty();

  TrackedTarget(Target target, long nowNanos) {
    this.target = target;
    this.coldUntilNanos = nowNanos + target.coldRemaining().toNanos();
    this.lastFailureNanos = nowNanos;
    this.backoffUntilNanos = nowNanos;
    this.sampleNanos = nowNanos;
  }

  /** Returns the newest registry entry of the target. */
  public Target target() {
    return target;
  }

  /** Replaces the registry entry and, after a restart of the target, resets its state. */
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

  /** Sets whether the target's registry entry is missing. */
  void setEntryMissing(boolean value) {
    entryMissing = value;
  }

  /**
   * Returns whether calls may be sent to the target. A target without a registry entry may have
   * shut down, so it is usable only if it has recently reported its load.
   */
  public boolean usable(long nowNanos) {
    return !entryMissing || sample(MISSING_ENTRY_MAX_SAMPLE_AGE_NANOS, nowNanos).isPresent();
  }

  /** Records a load report that has just been received. */
  public void recordSample(LoadSample newest, long nowNanos) {
    sample = Optional.of(newest);
    sampleNanos = nowNanos;
    sentSinceSample = 0;
    consecutiveUnreachable = 0;
  }

  /** Records that a load probe is sent to the target. */
  public void recordProbeSent(long nowNanos) {
    probeSentNanos = OptionalLong.of(nowNanos);
  }

  /** Records that the pending probe has ended, whatever its outcome. */
  public void recordProbeEnded() {
    probeSentNanos = OptionalLong.empty();
  }

  /** Returns whether a probe has been pending for longer than the given time. */
  boolean probePendingFor(double nanos, long nowNanos) {
    return probeSentNanos.isPresent() && nowNanos - probeSentNanos.getAsLong() > nanos;
  }

  /** Records the remaining cold time that the target reports. */
  public void updateColdRemaining(Duration remaining, long nowNanos) {
    coldUntilNanos = nowNanos + remaining.toNanos();
  }

  /** Records that a call is sent to the target. */
  public void recordSend() {
    inFlight++;
    sentSinceSample++;
  }

  /** Records that a sent call has ended, whatever its outcome. */
  public void recordEnd() {
    inFlight--;
  }

  /** Records a successful response. */
  public void recordSuccess() {
    failureScore *= FAILURE_DECAY_PER_SUCCESS;
    consecutiveUnreachable = 0;
  }

  /** Records a call that failed after it was sent. */
  public void recordFailure(long nowNanos) {
    failureScore = failureScore(nowNanos) + 1;
    lastFailureNanos = nowNanos;
  }

  /**
   * Records that the target is unreachable or reports itself unhealthy. Suspends the target for a
   * backoff that doubles with each consecutive failure up to a limit.
   */
  public void recordUnreachable(long nowNanos) {
    sample = Optional.empty();
    int doublings = Math.min(consecutiveUnreachable, MAX_BACKOFF_DOUBLINGS);
    consecutiveUnreachable++;
    backoffUntilNanos = nowNanos + (INITIAL_BACKOFF_NANOS << doublings);
  }

  /**
   * Returns the last load sample, or empty if there is none or it is older than the maximum age.
   */
  public Optional<LoadSample> sample(long maxAgeNanos, long nowNanos) {
    return sample.filter(known -> nowNanos - sampleNanos <= maxAgeNanos);
  }

  /** Returns the last load sample regardless of its age. */
  public Optional<LoadSample> lastSample() {
    return sample;
  }

  /** Returns the age of the last load sample. */
  public long sampleAgeNanos(long nowNanos) {
    return nowNanos - sampleNanos;
  }

  /** Returns the number of calls that this VM has sent since the last load sample. */
  public int sentSinceSample() {
    return sentSinceSample;
  }

  /** Returns the number of calls of this VM that are in flight to the target. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns whether the target is cold, that is, still warming up after its start. */
  public boolean cold(long nowNanos) {
    return nowNanos - coldUntilNanos < 0;
  }

  /** Returns whether the target is in backoff or has failed too often recently. */
  public boolean suspended(long nowNanos) {
    return unreachable(nowNanos) || failureScore(nowNanos) > MAX_FAILURE_SCORE;
  }

  /** Returns whether the target is in backoff after it was unreachable or unhealthy. */
  public boolean unreachable(long nowNanos) {
    return nowNanos - backoffUntilNanos < 0;
  }

  private double failureScore(long nowNanos) {
    double halfLives = (double) (nowNanos - lastFailureNanos) / FAILURE_HALF_LIFE_NANOS;
    return failureScore * Math.pow(0.5, halfLives);
  }
}
