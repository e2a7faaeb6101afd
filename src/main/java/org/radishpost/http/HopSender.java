package org.radishpost.http;

import org.radishpost.lib.PoolId;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;
import reactor.core.publisher.Mono;

/** Forwards calls to the VMs that own their pools. Thread-safe. */
public interface HopSender {
  /**
   * Forwards a call to the owner of the pool.
   *
   * @return the result; never fails. Cancelling it cancels the call at the owner.
   */
  Mono<CallResult> send(Call call, PoolId pool, VmEntry owner);

  /**
   * Allows the remainder of a request body to be sent, because the owner has reported that a target
   * accepted the call.
   */
  void onTargetAccepted(VmId owner, long sequence);
}
