package org.radishpost.node;

import java.util.concurrent.TimeUnit;
import org.radishpost.http.Call;
import org.radishpost.http.CallResult;
import org.radishpost.http.HopSender;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Counts and times the calls that are sent to other VMs; thread-safe.
 *
 * @param hops sends the calls
 * @param metrics records the results and times
 * @param clock provides the time
 */
record MeteredHops(HopSender hops, NodeMetrics metrics, Scheduler clock) implements HopSender {
  @Override
  public Mono<CallResult> send(Call call, PoolId pool, VmEntry owner) {
    long startNanos = clock.now(TimeUnit.NANOSECONDS);
    return hops.send(call, pool, owner)
        .doOnNext(
            result -> metrics.recordHop(result, clock.now(TimeUnit.NANOSECONDS) - startNanos));
  }

  @Override
  public void onTargetAccepted(VmId owner, long sequence) {
    hops.onTargetAccepted(owner, sequence);
  }
}
