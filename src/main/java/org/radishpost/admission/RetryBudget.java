package org.radishpost.admission;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * The retries and hedges that a VM may send, as a share of the calls that succeed.
 *
 * <p>A token bucket: each success adds {@code percent} hundredths of a retry, each retry or hedge
 * takes a whole one. A few retries are there from the start, so that a quiet VM can retry too.
 * Thread-safe.
 */
public final class RetryBudget {
  /** The share that is used unless something else is set. */
  public static final int DEFAULT_PERCENT = 10;

  /** The retries that are there from the start, and the most that are saved up. */
  public static final int RESERVE_RETRIES = 10;

  private static final int RETRY = 100;

  private final int percent;
  private final AtomicInteger hundredths = new AtomicInteger(RESERVE_RETRIES * RETRY);

  /** Creates a budget with its reserve. */
  public RetryBudget(int percent) {
    this.percent = percent;
  }

  /** Takes note of a call that succeeded. */
  public void succeeded() {
    hundredths.accumulateAndGet(
        percent, (had, more) -> Math.min(RESERVE_RETRIES * RETRY, had + more));
  }

  /** Takes a retry out of the budget; tells whether there was one. */
  public boolean take() {
    int before = hundredths.getAndUpdate(had -> had >= RETRY ? had - RETRY : had);
    return before >= RETRY;
  }
}
