package org.radishpost.http;

import org.radishpost.lib.PoolId;
import reactor.core.publisher.Mono;

/** Processes the calls that other VMs forward to the pools of this VM. */
@FunctionalInterface
public interface HopHandler {
  /**
   * Processes a call.
   *
   * @param call the call
   * @param pool the pool
   * @param onTargetAccepted runs when a target has accepted the call
   * @return the result; never fails. Cancelling it cancels the call.
   */
  Mono<CallResult> handle(Call call, PoolId pool, Runnable onTargetAccepted);
}
