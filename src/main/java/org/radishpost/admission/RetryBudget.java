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
  public static final int CAPACITY_RETRIES = 10;

  private static final int HUNDREDTHS_PER_RETRY = 100;

  private final int percentOfSuccesses;
  private final AtomicInteger hundredths =
      new AtomicInteger(CAPACITY_RETRIES * HUNDREDTHS_PER_RETRY);

  /** Creates a budget with its reserve. */
  public RetryBudget(int percentOfSuccesses) {
    this.percentOfSuccesses = percentOfSuccesses;
  }

  /** Takes note of a call that succeeded. */
  public void recordSuccess() {
    hundredths.accumulateAndGet(
        percentOfSuccesses,
        (current, added) -> Math.min(CAPACITY_RETRIES * HUNDREDTHS_PER_RETRY, current + added));
  }

  /** Takes a retry out of the budget; tells whether there was one. */
  public boolean tryAcquire() {
    int before =
        hundredths.getAndUpdate(
            current -> current >= HUNDREDTHS_PER_RETRY ? current - HUNDREDTHS_PER_RETRY : current);
    return before >= HUNDREDTHS_PER_RETRY;
  }
}
