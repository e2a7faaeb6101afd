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
 * @param tried the pools that have had it
 * @param moves how often it was sent on
 * @param mayHaveRun whether a target may have run it
 */
record Attempt(Call call, Set<PoolId> tried, int moves, boolean mayHaveRun) {
  /** Copies the set. */
  Attempt {
    tried = Set.copyOf(tried);
  }

  static Attempt first(Call call) {
    return new Attempt(call, Set.of(), 0, false);
  }

  RetryAllowance allowance() {
    return new RetryAllowance(call.retriesLeft());
  }

  Attempt at(PoolId pool) {
    Set<PoolId> more = new HashSet<>(tried);
    more.add(pool);
    return new Attempt(call, more, moves, mayHaveRun);
  }

  Attempt lost() {
    return new Attempt(call, tried, moves, true);
  }

  Attempt again(RetryAllowance left) {
    return new Attempt(call.withRetriesLeft(left.remaining()), tried, moves + 1, mayHaveRun);
  }

  EndedAttempt forPolicy() {
    return new EndedAttempt(
        call.facts(), allowance(), moves, mayHaveRun, false, call.body().isBuffered(), 0);
  }
}
