package org.radishpost.node;

import java.util.HashSet;
import java.util.Set;
import org.radishpost.admission.RetryAllowance;
import org.radishpost.admission.RetryAttempt;
import org.radishpost.http.Call;
import org.radishpost.lib.PoolId;

/**
 * The progress of a call over its attempts.
 *
 * @param call the call, with the number of retries that remain
 * @param triedPools the pools to which the call was sent
 * @param moveCount how often the call was sent to another pool after the first
 * @param mayHaveRun whether a target may have run the call
 */
record CallProgress(Call call, Set<PoolId> triedPools, int moveCount, boolean mayHaveRun) {
  /** Copies the set of pools. */
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
        call.withRetries(remaining.left()), triedPools, moveCount + 1, mayHaveRun);
  }

  RetryAttempt toRetryAttempt() {
    return new RetryAttempt(
        call.facts(), allowance(), moveCount, mayHaveRun, false, call.body().isWhole(), 0);
  }
}
