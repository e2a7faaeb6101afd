package org.radishpost.admission;

import java.util.OptionalLong;
import org.radishpost.lib.CallFacts;

/**
 * Decides whether a call that has not been answered yet is also sent to a second target.
 *
 * <p>Create one for each pool. It learns the 95th percentile of the pool's times; an idempotent
 * call that waits for longer may be hedged, when the budget and its allowance bear it. Ask the pool
 * chooser for the second target with the same facts, so that it stays within the home regions, and
 * leave the race to a {@link HedgeRace}. One thread at a time.
 */
public final class HedgePolicy {
  private static final double QUANTILE = 0.95;
  private static final double QUANTILE_STEP = 0.05;
  private static final int MIN_SAMPLES = 50;

  private final RetryBudget budget;
  private double logQuantile;
  private int samples;

  /** Creates the policy over the budget that retries use too. */
  public HedgePolicy(RetryBudget budget) {
    this.budget = budget;
  }

  /** Takes the time that an answer took. */
  public void recordServiceTime(long serviceNanos) {
    double log = Math.log(Math.max(1, serviceNanos));
    samples++;
    if (samples == 1) {
      logQuantile = log;
      return;
    }
    logQuantile += log > logQuantile ? QUANTILE_STEP * QUANTILE : -QUANTILE_STEP * (1 - QUANTILE);
  }

  /** Returns the delay after which the call may be hedged, empty when it may not be. */
  public OptionalLong delayNanos(CallFacts call, RetryAllowance allowance) {
    if (!call.idempotent() || allowance.remaining() == 0 || samples < MIN_SAMPLES) {
      return OptionalLong.empty();
    }
    return OptionalLong.of((long) Math.exp(logQuantile));
  }

  /** Takes the hedge out of the budget when the delay is over; tells whether it may be sent. */
  public boolean tryStart(CallFacts call, long nowNanos) {
    boolean finishesInTime = call.deadlineNanos() - nowNanos > Math.exp(logQuantile);
    return finishesInTime && budget.tryAcquire();
  }
}
