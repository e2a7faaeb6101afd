package org.radishpost.node;

import java.util.HashSet;
import java.util.Set;
import org.radishpost.admission.EndedAttempt;
import org.radishpost.admission.RetryAllowance;
import org.radishpost.http.Call;
import org.radishpost.lib.PoolId;

/**
 * How far the sending of a call has come.
 *
 * @param call the call, with the retries that the next send may use
 * @param triedPools the pools that have had it
 * @param moveCount how often it was sent on
 * @param mayHaveRun whether a target may have run it
 */
record CallProgress(Call call, Set<PoolId> triedPools, int moveCount, boolean mayHaveRun) {
  /** Copies the set. */
  CallProgress {
    triedPools = Set.copyOf(triedPools);
  }

  static CallProgress start(Call call) {
    return new CallProgress(call, Set.of(), 0, false);
  }

  RetryAllowance allowance() {
    return new RetryAllowance(call.retriesLeft());
  }

  CallProgress withTriedPool(PoolId pool) {
    Set<PoolId> pools = new HashSet<>(triedPools);
    pools.add(pool);
    return new CallProgress(call, pools, moveCount, mayHaveRun);
  }

  CallProgress withPossibleRun() {
    return new CallProgress(call, triedPools, moveCount, true);
  }

  CallProgress afterMove(RetryAllowance remaining) {
    return new CallProgress(
        call.withRetriesLeft(remaining.remaining()), triedPools, moveCount + 1, mayHaveRun);
  }

  EndedAttempt toRetryAttempt() {
    return new EndedAttempt(
        call.facts(), allowance(), moveCount, mayHaveRun, false, call.body().isBuffered(), 0);
  }
}
