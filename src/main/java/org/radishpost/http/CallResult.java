package org.radishpost.http;

import java.util.Optional;
import org.radishpost.errors.RadishpostException;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;

/** How one attempt of a call at the owner of a pool ended. */
public sealed interface CallResult {
  /** Returns what the owner told of the pool. */
  Optional<PoolView> view();

  /**
   * There is an answer for the caller: a target's, or a refusal that no other pool can better.
   *
   * @param response the answer
   * @param view the pool
   */
  record Responded(Response response, Optional<PoolView> view) implements CallResult {}

  /**
   * The call was not run.
   *
   * @param reason why
   * @param view the pool
   */
  record HandedBack(HandBackReason reason, Optional<PoolView> view) implements CallResult {}

  /**
   * A target had the call and said that it did not run it.
   *
   * @param view the pool
   */
  record Shed(Optional<PoolView> view) implements CallResult {}

  /**
   * The call may have run, and there is no answer.
   *
   * @param cause what happened
   * @param view the pool
   */
  record Lost(RadishpostException cause, Optional<PoolView> view) implements CallResult {}

  /**
   * The owner could not be reached; the call was not run.
   *
   * @param cause what happened
   */
  record Unreachable(RadishpostException cause) implements CallResult {
    @Override
    public Optional<PoolView> view() {
      return Optional.empty();
    }
  }
}
