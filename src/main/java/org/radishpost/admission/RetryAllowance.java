package org.radishpost.admission;

/**
 * The retries and hedges that one call and everything below it in its chain may still use.
 *
 * <p>It travels with the call. A level keeps one for itself, passes the rest on, and counts what it
 * passed on as used. All levels together therefore send no more than {@link #MAX_REMAINING} calls
 * beside the first at any depth, however deep the chain is.
 *
 * @param remaining the retries left, 0 to {@link #MAX_REMAINING}
 */
public record RetryAllowance(int remaining) {
  /** What a call has that comes without an allowance, and the most that one may bring. */
  public static final int MAX_REMAINING = 3;

  /** Holds the number within its bounds. */
  public RetryAllowance {
    remaining = Math.max(0, Math.min(MAX_REMAINING, remaining));
  }

  /** Returns the allowance of a call that comes without one. */
  public static RetryAllowance initial() {
    return new RetryAllowance(MAX_REMAINING);
  }

  /** Returns what a send passes on with the call. */
  public RetryAllowance forwarded() {
    return new RetryAllowance(remaining - 1);
  }

  /** Returns what is left here after a send that may have used all that it passed on. */
  public RetryAllowance retained() {
    return new RetryAllowance(Math.min(remaining, 1));
  }

  /** Returns what is left when one retry or hedge begins. */
  public RetryAllowance afterRetry() {
    return new RetryAllowance(remaining - 1);
  }
}
