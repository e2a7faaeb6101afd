package org.radishpost.admission;

import org.radishpost.lib.Verdict;

/** The decision after an attempt of a call has ended. */
public sealed interface RetryDecision {
  /**
   * Send the call to another pool or target.
   *
   * @param allowance the allowance of the next attempt
   */
  record Retry(RetryAllowance allowance) implements RetryDecision {}

  /**
   * Refuse the call.
   *
   * @param verdict the verdict reported to the caller: whether the call did not run or may have run
   */
  record Refuse(Verdict verdict) implements RetryDecision {}

  /** Forward the target's response to the caller. */
  record ForwardResponse() implements RetryDecision {}

  /** Abort the caller's connection, because part of a response was already sent on it. */
  record Abort() implements RetryDecision {}
}
