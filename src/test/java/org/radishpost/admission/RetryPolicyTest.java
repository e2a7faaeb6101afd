package org.radishpost.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.function.UnaryOperator;
import org.radishpost.lib.CallFacts;
import org.radishpost.lib.CallId;
import org.radishpost.lib.Verdict;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.TargetOutcome;
import org.testng.annotations.Test;

/** Retries, hedges and how they add up along a chain. */
public class RetryPolicyTest {
  private static final int DEPTH = 23;
  private static final TargetOutcome DIED = new TargetOutcome.ConnectionDied(true);

  @Test
  public void callThatMayHaveRunIsSentAgainOnlyWhenIdempotent() {
    RetryPolicy policy = new RetryPolicy(new RetryBudget(10));
    assertEquals(
        policy.afterSend(attempt(false, true), DIED, 0), new RetryDecision.Refuse(Verdict.UNKNOWN));
    assertEquals(
        policy.afterSend(attempt(true, true), DIED, 0),
        new RetryDecision.Retry(new RetryAllowance(0)));
  }

  @Test
  public void callThatReachedNoTargetMovesOnAndIsRefusedAsNotRun() {
    RetryPolicy policy = new RetryPolicy(new RetryBudget(10));
    RetryAttempt attempt = attempt(false, false);
    assertEquals(
        policy.afterHandBack(attempt, HandBackReason.QUEUE_FULL, 0),
        new RetryDecision.Retry(RetryAllowance.start()));
    assertEquals(
        policy.afterHandBack(attempt, HandBackReason.QUEUE_FULL, 1_000),
        new RetryDecision.Refuse(Verdict.NOT_RUN));
  }

  @Test
  public void budgetHoldsRetriesToItsShareOfSuccesses() {
    RetryBudget budget = new RetryBudget(10);
    int retries = 0;
    for (int i = 0; i < 1_000; i++) {
      budget.succeeded();
      retries += budget.take() ? 1 : 0;
    }
    assertTrue(retries <= 100 + RetryBudget.RESERVE_RETRIES, "sent " + retries);
  }

  @Test
  public void retriesDoNotMultiplyAlongTheChain() {
    int worst = sendsAtTheEnd(RetryAllowance.start(), 0, RetryAllowance::passed);
    assertEquals(worst, 1 + RetryAllowance.START);
  }

  @Test
  public void passingTheWholeAllowanceOnBreaksTheBound() {
    int worst = sendsAtTheEnd(RetryAllowance.start(), 0, allowance -> allowance);
    assertTrue(worst > 1 + RetryAllowance.START, "sent " + worst);
  }

  @Test
  public void hedgeWaitsForTheSlowestTwentieth() {
    HedgePolicy policy = new HedgePolicy(new RetryBudget(10));
    for (int i = 0; i < 10_000; i++) {
      policy.answered(i % 10 == 9 ? 50_000_000 : 1_000_000);
    }
    CallFacts call = AdmissionFixture.call(1, "a", 1, true, 10_000_000_000L);
    long delay = policy.delayNanos(call, RetryAllowance.start()).orElseThrow();
    assertTrue(delay > 30_000_000 && delay < 80_000_000, "delay " + delay);
    CallFacts commit = AdmissionFixture.call(1, "a", 1, false, 10_000_000_000L);
    assertTrue(policy.delayNanos(commit, RetryAllowance.start()).isEmpty());
  }

  @Test
  public void loserOfHedgeIsCancelled() {
    HedgeRace race = new HedgeRace(new CallId(1), new CallId(2));
    TargetOutcome answer = new TargetOutcome.Answered(200, Optional.empty(), 1);
    assertEquals(
        race.ended(new CallId(2), answer), new HedgeRace.Step.Won(Optional.of(new CallId(1))));
    assertFalse(race.ended(new CallId(1), answer) instanceof HedgeRace.Step.Won);
  }

  private static int sendsAtTheEnd(
      RetryAllowance allowance, int level, UnaryOperator<RetryAllowance> pass) {
    if (level == DEPTH) {
      return 1;
    }
    RetryPolicy policy = new RetryPolicy(new RetryBudget(10));
    int sends = 0;
    RetryAllowance mine = allowance;
    while (sends < 10_000) {
      sends += sendsAtTheEnd(pass.apply(mine), level + 1, pass);
      RetryAttempt attempt = new RetryAttempt(call(true), mine, 0, true, false, true, 0);
      if (!(policy.afterSend(attempt, DIED, 0) instanceof RetryDecision.Retry retry)) {
        return sends;
      }
      mine = retry.allowance();
    }
    return sends;
  }

  private static RetryAttempt attempt(boolean idempotent, boolean mayHaveRun) {
    return new RetryAttempt(
        call(idempotent), RetryAllowance.start(), 0, mayHaveRun, false, true, 500);
  }

  private static CallFacts call(boolean idempotent) {
    return AdmissionFixture.call(1, "a", 1, idempotent, 1_000);
  }
}
