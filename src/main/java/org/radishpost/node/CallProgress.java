package org.radishpost.node;

import java.util.HashSet;
import java.util.Set;
import org.radishpost.admission.EndedAttempt;
import org.radishpost.admission.RetryAllowance;
import org.radishpost.http.Call;
import org.radishpost.lib.PoolId;

/**
 * The progress of a call over its attempts.
 *
 * @param call the call, with the number of retries that remain
 * @param triedPools the pools to which the call was sent
 * @param reroutes how often the call was sent to another pool
 * @param mayHaveRun whether a target may have run the call
 */
record CallProgress(Call call, Set<PoolId> triedPools, int reroutes, boolean mayHaveRun) {
  /** Copies the set of pools. */
  CallProgress {
    triedPools = Set.copyOf(triedPools);
  }

  static CallProgress start(Call call) {
    return new CallProgress(call, Set.of(), 0, false);
  }

  RetryAllowance retryAllowance() {
    return new RetryAllowance(call.retriesLeft());
  }

  CallProgress withTriedPool(PoolId pool) {
    Set<PoolId> pools = new HashSet<>(triedPools);
    pools.add(pool);
    return new CallProgress(call, pools, reroutes, mayHaveRun);
  }

  CallProgress withPossibleRun() {
    return new CallProgress(call, triedPools, reroutes, true);
  }

  CallProgress afterReroute(RetryAllowance allowance) {
    return new CallProgress(
        call.withRetriesLeft(allowance.remaining()), triedPools, reroutes + 1, mayHaveRun);
  }

  EndedAttempt toEndedAttempt() {
    return new EndedAttempt(
        call.info(), retryAllowance(), reroutes, mayHaveRun, false, call.body().isBuffered(), 0);
  }
}
