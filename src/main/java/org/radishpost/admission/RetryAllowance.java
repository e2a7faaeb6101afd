package org.radishpost.admission;

/**
 * The number of retries and hedges that remain for a call and for all calls that it causes
 * downstream.
 *
 * <p>The allowance is forwarded with the call. Each level of the chain retains one retry for
 * itself, forwards the rest, and counts all that it forwarded as used. At any depth of the chain,
 * all levels together therefore send at most {@link #MAX_RETRIES} calls in addition to the first.
 *
 * @param remaining the remaining retries and hedges, 0 to {@link #MAX_RETRIES}
 */
public record RetryAllowance(int remaining) {
  /** The allowance of a call that arrives without one, and the maximum for any call. */
  public static final int MAX_RETRIES = 3;

  /** Clamps the number to the range from 0 to {@link #MAX_RETRIES}. */
  public RetryAllowance {
    remaining = Math.max(0, Math.min(MAX_RETRIES, remaining));
  }

  /** Returns the allowance of a call that arrives without one. */
  public static RetryAllowance initial() {
    return new RetryAllowance(MAX_RETRIES);
  }

  /** Returns the allowance to forward with an attempt. */
  public RetryAllowance forwarded() {
    return new RetryAllowance(remaining - 1);
  }

  /** Returns the allowance that remains here if an attempt used all that was forwarded with it. */
  public RetryAllowance retained() {
    return new RetryAllowance(Math.min(remaining, 1));
  }

  /** Returns the allowance that remains after one retry or hedge. */
  public RetryAllowance afterRetry() {
    return new RetryAllowance(remaining - 1);
  }
}
