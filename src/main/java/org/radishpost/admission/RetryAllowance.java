package org.radishpost.admission;

/**
 * The retries and hedges that one call and everything below it in its chain may still use.
 *
 * <p>It travels with the call. A level keeps one for itself, passes the rest on, and counts what it
 * passed on as used. All levels together therefore send no more than {@link #START} calls beside
 * the first at any depth, however deep the chain is.
 *
 * @param left the retries left, 0 to {@link #START}
 */
public record RetryAllowance(int left) {
  /** What a call has that comes without an allowance, and the most that one may bring. */
  public static final int START = 3;

  /** Holds the number within its bounds. */
  public RetryAllowance {
    left = Math.max(0, Math.min(START, left));
  }

  /** Returns the allowance of a call that comes without one. */
  public static RetryAllowance start() {
    return new RetryAllowance(START);
  }

  /** Returns what a send passes on with the call. */
  public RetryAllowance passed() {
    return new RetryAllowance(left - 1);
  }

  /** Returns what is left here after a send that may have used all that it passed on. */
  public RetryAllowance kept() {
    return new RetryAllowance(Math.min(left, 1));
  }

  /** Returns what is left when one retry or hedge begins. */
  public RetryAllowance spent() {
    return new RetryAllowance(left - 1);
  }
}
