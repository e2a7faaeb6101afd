package org.radishpost.http;

import org.radishpost.lib.PoolId;
import reactor.core.publisher.Mono;

/** Runs the calls that other VMs send to the pools of this VM. */
@FunctionalInterface
public interface HopHandler {
  /**
   * Runs a call.
   *
   * @param call the call
   * @param pool the pool
   * @param onTargetAccepted run when a target has the call
   * @return how it ended, never an error; cancelling cancels the call
   */
  Mono<CallResult> handle(Call call, PoolId pool, Runnable onTargetAccepted);
}
