package org.radishpost.admission;

import org.radishpost.lib.Verdict;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.TargetOutcome;

/**
 * Decides whether a call may be sent again.
 *
 * <p>A call that reached no target moves on freely, a few times. A call that a target shed, or an
 * idempotent one that may have run, costs a retry of the VM's budget and of the call's allowance. A
 * call that may have run and is not idempotent is never sent again. Thread-safe.
 */
public final class RetryPolicy {
  /** How often a call may move on without having reached a target. */
  public static final int MAX_REROUTES = 4;

  private final RetryBudget budget;

  /** Creates the policy over the budget of the VM. */
  public RetryPolicy(RetryBudget budget) {
    this.budget = budget;
  }

  /** Decides after a send has ended. */
  public RetryDecision decideAfterAttempt(
      EndedAttempt attempt, TargetOutcome outcome, long nowNanos) {
    return switch (outcome) {
      case TargetOutcome.Responded answered -> {
        budget.recordSuccess();
        yield new RetryDecision.ForwardResponse();
      }
      case TargetOutcome.Shed shed -> retry(attempt, nowNanos);
      case TargetOutcome.NotConnected n -> reroute(attempt, nowNanos);
      case TargetOutcome.ConnectionLost d -> decideAfterMissingResponse(attempt, nowNanos);
      case TargetOutcome.TimedOut t -> decideAfterMissingResponse(attempt, nowNanos);
      case TargetOutcome.Cancelled c -> refuse(attempt);
    };
  }

  /** Decides after the owner of a pool gave the call back unsent. */
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
