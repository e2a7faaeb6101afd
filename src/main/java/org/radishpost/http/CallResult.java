package org.radishpost.http;

import java.util.Optional;
import org.radishpost.errors.RadishpostException;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;

/** The result of one attempt of a call at the owner of a pool. */
public sealed interface CallResult {
  /** Returns the state of the pool that the owner reported. */
  Optional<PoolView> view();

  /**
   * The call ended with a response for the caller: one from a target, or a refusal that no other
   * pool can improve on.
   *
   * @param response the response
   * @param view the state of the pool
   */
  record Responded(Response response, Optional<PoolView> view) implements CallResult {}

  /**
   * The call was not run.
   *
   * @param reason why the owner handed it back
   * @param view the state of the pool
   */
  record HandedBack(HandBackReason reason, Optional<PoolView> view) implements CallResult {}

  /**
   * A target received the call and reported that it did not run it.
   *
   * @param view the state of the pool
   */
  record Shed(Optional<PoolView> view) implements CallResult {}

  /**
   * The call may have run, but no response was received.
   *
   * @param cause the failure
   * @param view the state of the pool
   */
  record Lost(RadishpostException cause, Optional<PoolView> view) implements CallResult {}

  /**
   * The owner could not be reached. The call was not run.
   *
   * @param cause the failure
   */
  record Unreachable(RadishpostException cause) implements CallResult {
    @Override
    public Optional<PoolView> view() {
      return Optional.empty();
    }
  }
}
