package org.radishpost.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.function.UnaryOperator;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Verdict;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.TargetOutcome;
import org.testng.annotations.Test;

/** Tests retries and hedges, and their total number along a chain of calls. */
public class RetryPolicyTest {
  private static final int CHAIN_DEPTH = 23;
  private static final TargetOutcome CONNECTION_LOST = new TargetOutcome.ConnectionLost(true);

  @Test
  public void callThatMayHaveRunIsRetriedOnlyWhenIdempotent() {
    RetryPolicy policy = new RetryPolicy(new RetryBudget(10));
    assertEquals(
        policy.decideAfterAttempt(attempt(false, true), CONNECTION_LOST, 0),
        new RetryDecision.Refuse(Verdict.UNKNOWN));
    assertEquals(
        policy.decideAfterAttempt(attempt(true, true), CONNECTION_LOST, 0),
        new RetryDecision.Retry(new RetryAllowance(0)));
  }

  @Test
  public void callThatReachedNoTargetIsReroutedAndThenRefusedAsNotRun() {
    RetryPolicy policy = new RetryPolicy(new RetryBudget(10));
    EndedAttempt attempt = attempt(false, false);
    assertEquals(
        policy.decideAfterHandBack(attempt, HandBackReason.QUEUE_FULL, 0),
        new RetryDecision.Retry(RetryAllowance.initial()));
    assertEquals(
        policy.decideAfterHandBack(attempt, HandBackReason.QUEUE_FULL, 1_000),
        new RetryDecision.Refuse(Verdict.NOT_RUN));
  }

  @Test
  public void budgetLimitsRetriesToItsPercentageOfSuccesses() {
    RetryBudget budget = new RetryBudget(10);
    int retries = 0;
    for (int i = 0; i < 1_000; i++) {
      budget.recordSuccess();
      retries += budget.tryAcquire() ? 1 : 0;
    }
    assertTrue(retries <= 100 + RetryBudget.CAPACITY_RETRIES, "sent: " + retries);
  }

  @Test
  public void retriesDoNotMultiplyAlongTheChain() {
    int worst = maxCallsAtChainEnd(RetryAllowance.initial(), 0, RetryAllowance::forwarded);
    assertEquals(worst, 1 + RetryAllowance.MAX_RETRIES);
  }

  @Test
  public void forwardingTheEntireAllowanceExceedsTheBound() {
    int worst = maxCallsAtChainEnd(RetryAllowance.initial(), 0, allowance -> allowance);
    assertTrue(worst > 1 + RetryAllowance.MAX_RETRIES, "sent: " + worst);
  }

  @Test
  public void hedgeDelayIsThe95thPercentileOfServiceTimes() {
    HedgePolicy policy = new HedgePolicy(new RetryBudget(10));
    for (int i = 0; i < 10_000; i++) {
      policy.recordServiceTime(i % 10 == 9 ? 50_000_000 : 1_000_000);
    }
    CallInfo call = AdmissionFixture.call(1, "a", 1, true, 10_000_000_000L);
    long delayNanos = policy.delayNanos(call, RetryAllowance.initial()).orElseThrow();
    assertTrue(delayNanos > 30_000_000 && delayNanos < 80_000_000, "delay in ns: " + delayNanos);
    CallInfo commit = AdmissionFixture.call(1, "a", 1, false, 10_000_000_000L);
    assertTrue(policy.delayNanos(commit, RetryAllowance.initial()).isEmpty());
  }

  @Test
  public void slowerAttemptOfHedgeIsCancelled() {
    HedgeRace race = new HedgeRace(new CallId(1), new CallId(2));
    TargetOutcome response = new TargetOutcome.Responded(200, Optional.empty(), 1);
    assertEquals(
        race.attemptEnded(new CallId(2), response),
        new HedgeRace.Decision.Won(Optional.of(new CallId(1))));
    assertFalse(race.attemptEnded(new CallId(1), response) instanceof HedgeRace.Decision.Won);
  }

  private static int maxCallsAtChainEnd(
      RetryAllowance allowance, int level, UnaryOperator<RetryAllowance> forward) {
    if (level == CHAIN_DEPTH) {
      return 1;
    }
    RetryPolicy policy = new RetryPolicy(new RetryBudget(10));
    int calls = 0;
    RetryAllowance remaining = allowance;
    while (calls < 10_000) {
      calls += maxCallsAtChainEnd(forward.apply(remaining), level + 1, forward);
      EndedAttempt attempt = new EndedAttempt(call(true), remaining, 0, true, false, true, 0);
      if (!(policy.decideAfterAttempt(attempt, CONNECTION_LOST, 0)
          instanceof RetryDecision.Retry retry)) {
        return calls;
      }
      remaining = retry.allowance();
    }
    return calls;
  }

  private static EndedAttempt attempt(boolean idempotent, boolean mayHaveRun) {
    return new EndedAttempt(
        call(idempotent), RetryAllowance.initial(), 0, mayHaveRun, false, true, 500);
  }

  private static CallInfo call(boolean idempotent) {
    return AdmissionFixture.call(1, "a", 1, idempotent, 1_000);
  }
}
