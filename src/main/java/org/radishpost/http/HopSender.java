package org.radishpost.http;

import org.radishpost.lib.PoolId;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;
import reactor.core.publisher.Mono;

/** Sends calls to the VMs that own their pools; thread-safe. */
public interface HopSender {
  /**
   * Sends a call to the owner of the pool.
   *
   * @return how it ended, never an error; cancelling cancels the call at the owner
   */
  Mono<CallResult> send(Call call, PoolId pool, VmEntry owner);

  /** Takes the owner's word that a target has the call, so that the rest of its body may follow. */
  void onTargetAccepted(VmId owner, long sequence);
}
