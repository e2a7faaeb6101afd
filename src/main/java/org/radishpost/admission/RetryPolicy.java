package org.radishpost.admission;

import org.radishpost.lib.Verdict;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.TargetOutcome;

/**
 * Decides whether a call may be sent again.
 *
 * <p>A call that reached no target may be rerouted up to {@link #MAX_REROUTES} times without using
 * a retry. For a call that a target shed, or an idempotent call that may have run, the next attempt
 * takes one retry from the VM's budget and from the call's allowance. A call that may have run and
 * is not idempotent is never sent again. Thread-safe.
 */
public final class RetryPolicy {
  /** The maximum number of times that a call is rerouted without having reached a target. */
  public static final int MAX_REROUTES = 4;

  private final RetryBudget budget;

  /** Creates a policy that takes retries from the budget of the VM. */
  public RetryPolicy(RetryBudget budget) {
    this.budget = budget;
  }

  /** Decides what to do after an attempt has ended. */
  public RetryDecision decideAfterAttempt(
      EndedAttempt attempt, TargetOutcome outcome, long nowNanos) {
    return switch (outcome) {
      case TargetOutcome.Responded responded -> {
        budget.recordSuccess();
        yield new RetryDecision.ForwardResponse();
      }
      case TargetOutcome.Shed shed -> retry(attempt, nowNanos);
      case TargetOutcome.NotConnected notConnected -> reroute(attempt, nowNanos);
      case TargetOutcome.ConnectionLost lost -> decideAfterMissingResponse(attempt, nowNanos);
      case TargetOutcome.TimedOut timedOut -> decideAfterMissingResponse(attempt, nowNanos);
      case TargetOutcome.Cancelled cancelled -> refuse(attempt);
    };
  }

  /** Decides what to do after the owner of a pool handed back the call without sending it. */
  public RetryDecision decideAfterHandBack(
      EndedAttempt attempt, HandBackReason reason, long nowNanos) {
    return switch (reason) {
      case QUEUE_FULL, TOO_LATE, NO_TARGET, NOT_OWNER -> reroute(attempt, nowNanos);
      case SUSPECT -> refuse(attempt);
    };
  }

  private RetryDecision decideAfterMissingResponse(EndedAttempt attempt, long nowNanos) {
    if (attempt.responseStarted()) {
      return new RetryDecision.Abort();
    }
    if (!attempt.mayHaveRun()) {
      return reroute(attempt, nowNanos);
    }
    if (!attempt.call().idempotent()) {
      return refuse(attempt);
    }
    return retry(attempt, nowNanos);
  }

  private RetryDecision reroute(EndedAttempt attempt, long nowNanos) {
    boolean allowed = attempt.reroutes() < MAX_REROUTES && mayBeSent(attempt, nowNanos);
    return allowed ? new RetryDecision.Retry(attempt.allowance()) : refuse(attempt);
  }

  private RetryDecision retry(EndedAttempt attempt, long nowNanos) {
    RetryAllowance retained = attempt.allowance().retained();
    boolean allowed =
        retained.remaining() > 0 && mayBeSent(attempt, nowNanos) && budget.tryAcquire();
    return allowed ? new RetryDecision.Retry(retained.afterRetry()) : refuse(attempt);
  }

  private static boolean mayBeSent(EndedAttempt attempt, long nowNanos) {
    boolean safeToRepeat = attempt.call().idempotent() || !attempt.mayHaveRun();
    long remainingNanos = attempt.call().deadlineNanos() - nowNanos;
    return safeToRepeat
        && attempt.bodyReplayable()
        && remainingNanos > attempt.expectedDurationNanos();
  }

  private static RetryDecision refuse(EndedAttempt attempt) {
    return new RetryDecision.Refuse(attempt.mayHaveRun() ? Verdict.UNKNOWN : Verdict.NOT_RUN);
  }
}
