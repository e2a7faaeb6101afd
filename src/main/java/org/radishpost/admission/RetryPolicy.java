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
  public static final int MAX_MOVES = 4;

  private final RetryBudget budget;

  /** Creates the policy over the budget of the VM. */
  public RetryPolicy(RetryBudget budget) {
    this.budget = budget;
  }

  /** Decides after a send has ended. */
  public RetryDecision afterSend(RetryAttempt attempt, TargetOutcome outcome, long nowNanos) {
    return switch (outcome) {
      case TargetOutcome.Answered answered -> {
        budget.succeeded();
        yield new RetryDecision.PassOn();
      }
      case TargetOutcome.Shed shed -> retry(attempt, nowNanos);
      case TargetOutcome.NotConnected n -> move(attempt, nowNanos);
      case TargetOutcome.ConnectionDied d -> afterSilence(attempt, nowNanos);
      case TargetOutcome.TimedOut t -> afterSilence(attempt, nowNanos);
      case TargetOutcome.Cancelled c -> refuse(attempt);
    };
  }

  /** Decides after the owner of a pool gave the call back unsent. */
  public RetryDecision afterHandBack(RetryAttempt attempt, HandBackReason reason, long nowNanos) {
    return switch (reason) {
      case QUEUE_FULL, TOO_LATE, NO_TARGET, NOT_OWNER -> move(attempt, nowNanos);
      case SUSPECT -> refuse(attempt);
    };
  }

  private RetryDecision afterSilence(RetryAttempt attempt, long nowNanos) {
    if (attempt.answerBegun()) {
      return new RetryDecision.Abort();
    }
    if (!attempt.mayHaveRun()) {
      return move(attempt, nowNanos);
    }
    if (!attempt.call().idempotent()) {
      return refuse(attempt);
    }
    return retry(attempt, nowNanos);
  }

  private RetryDecision move(RetryAttempt attempt, long nowNanos) {
    boolean again = attempt.moves() < MAX_MOVES && mayBeSent(attempt, nowNanos);
    return again ? new RetryDecision.Retry(attempt.allowance()) : refuse(attempt);
  }

  private RetryDecision retry(RetryAttempt attempt, long nowNanos) {
    RetryAllowance left = attempt.allowance().kept();
    boolean again = left.left() > 0 && mayBeSent(attempt, nowNanos) && budget.take();
    return again ? new RetryDecision.Retry(left.spent()) : refuse(attempt);
  }

  private static boolean mayBeSent(RetryAttempt attempt, long nowNanos) {
    boolean repeatable = attempt.call().idempotent() || !attempt.mayHaveRun();
    long left = attempt.call().deadlineNanos() - nowNanos;
    return repeatable && attempt.bodyKept() && left > attempt.expectedNanos();
  }

  private static RetryDecision refuse(RetryAttempt attempt) {
    return new RetryDecision.Refuse(attempt.mayHaveRun() ? Verdict.UNKNOWN : Verdict.NOT_RUN);
  }
}
