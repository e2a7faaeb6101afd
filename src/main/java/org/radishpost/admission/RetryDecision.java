package org.radishpost.admission;

import org.radishpost.lib.Verdict;

/** What follows when an attempt of a call has ended. */
public sealed interface RetryDecision {
  /**
   * Send the call to another pool or target.
   *
   * @param allowance what the next attempt has
   */
  record Retry(RetryAllowance allowance) implements RetryDecision {}

  /**
   * Refuse the call.
   *
   * @param verdict what the refusal says truthfully
   */
  record Refuse(Verdict verdict) implements RetryDecision {}

  /** Give the caller the target's answer. */
  record ForwardResponse() implements RetryDecision {}

  /** Abort the caller's connection, because a part of an answer has gone out on it. */
  record Abort() implements RetryDecision {}
}
