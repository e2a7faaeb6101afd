package org.radishpost.admission;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the retries and hedges of a VM to a percentage of its successful calls.
 *
 * <p>A token bucket: each success adds a fraction of a token, each retry or hedge takes a whole
 * token. The bucket is full at the start, so that a VM with little traffic can retry too.
 * Thread-safe.
 */
public final class RetryBudget {
  /** The default percentage. */
  public static final int DEFAULT_PERCENT = 10;

  /** The capacity of the bucket, in retries. */
  public static final int CAPACITY_RETRIES = 10;

  private static final int HUNDREDTHS_PER_RETRY = 100;

  private final int percentOfSuccesses;
  private final AtomicInteger hundredths =
      new AtomicInteger(CAPACITY_RETRIES * HUNDREDTHS_PER_RETRY);

  /**
   * Creates a budget with a full bucket.
   *
   * @param percentOfSuccesses the number of retries and hedges for every 100 successful calls
   */
  public RetryBudget(int percentOfSuccesses) {
    this.percentOfSuccesses = percentOfSuccesses;
  }

  /** Records a successful call. */
  public void recordSuccess() {
    hundredths.accumulateAndGet(
        percentOfSuccesses,
        (current, added) -> Math.min(CAPACITY_RETRIES * HUNDREDTHS_PER_RETRY, current + added));
  }

  /** Takes one retry from the budget and returns whether one was available. */
  public boolean tryAcquire() {
    int before =
        hundredths.getAndUpdate(
            current -> current >= HUNDREDTHS_PER_RETRY ? current - HUNDREDTHS_PER_RETRY : current);
    return before >= HUNDREDTHS_PER_RETRY;
  }
}
