package org.radishpost.admission;

import java.util.OptionalLong;
import org.radishpost.lib.CallInfo;

/**
 * Decides whether a call without a response is hedged, that is, also sent to a second target.
 *
 * <p>Create one policy for each pool. It estimates the 95th percentile of the pool's service times.
 * An idempotent call that waits longer may be hedged if the retry budget and the call's allowance
 * permit it. The second target must be chosen with the same {@link CallInfo}, so that it is in one
 * of the home regions. Use a {@link HedgeRace} to choose between the two attempts. Not thread-safe.
 */
public final class HedgePolicy {
  private static final double QUANTILE = 0.95;
  private static final double QUANTILE_STEP = 0.05;
  private static final int MIN_SAMPLES = 50;

  private final RetryBudget budget;
  private double logQuantile;
  private int sampleCount;

  /** Creates a policy that takes hedges from the same budget as retries. */
  public HedgePolicy(RetryBudget budget) {
    this.budget = budget;
  }

  /** Records the service time of a response. */
  public void recordServiceTime(long serviceNanos) {
    double log = Math.log(Math.max(1, serviceNanos));
    sampleCount++;
    if (sampleCount == 1) {
      logQuantile = log;
      return;
    }
    logQuantile += log > logQuantile ? QUANTILE_STEP * QUANTILE : -QUANTILE_STEP * (1 - QUANTILE);
  }

  /** Returns the delay after which the call may be hedged, or empty if it must not be hedged. */
  public OptionalLong delayNanos(CallInfo call, RetryAllowance allowance) {
    if (!call.idempotent() || allowance.remaining() == 0 || sampleCount < MIN_SAMPLES) {
      return OptionalLong.empty();
    }
    return OptionalLong.of((long) Math.exp(logQuantile));
  }

  /**
   * Takes a hedge from the budget when the delay is over. Returns whether the hedge may be sent,
   * that is, whether it is expected to complete in time and the budget permits it.
   */
  public boolean tryStart(CallInfo call, long nowNanos) {
    boolean finishesInTime = call.deadlineNanos() - nowNanos > Math.exp(logQuantile);
    return finishesInTime && budget.tryAcquire();
  }
}
