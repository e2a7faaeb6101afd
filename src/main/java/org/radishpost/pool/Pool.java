package org.radishpost.pool;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Endpoint;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;

/**
 * Queues calls for the targets of a pool and decides when and to which target each call is sent.
 *
 * <p>A pool performs no I/O. Every method takes the time of the runtime's monotonic clock in
 * nanoseconds; most pass the actions to perform to {@code actions}, in order. Not thread-safe: the
 * adapter that performs the actions serializes the calls.
 */
public interface Pool {
  /** Sets the targets that may receive new calls; targets that are no longer listed drain. */
  void configure(
      ServiceSpec service, List<TargetSpec> targets, long nowNanos, Consumer<PoolAction> actions);

  /** Accepts a call, which is queued or sent, or hands it back. */
  void offer(CallInfo call, long nowNanos, Consumer<PoolAction> actions);

  /** Records the outcome of a call that was sent. */
  void callEnded(CallId call, TargetOutcome outcome, long nowNanos, Consumer<PoolAction> actions);

  /**
   * Removes a queued call whose caller has disconnected. Has no effect on a call that was already
   * sent; such a call ends with {@link #callEnded}.
   */
  void removeQueued(CallId call, long nowNanos, Consumer<PoolAction> actions);

  /** Records the result of a load probe; {@code report} is empty if none was received. */
  void probeCompleted(
      Endpoint target, Optional<LoadReport> report, long nowNanos, Consumer<PoolAction> actions);

  /**
   * Records that the target closed the last idle connection to it. The target may have restarted.
   */
  void idleConnectionsClosed(Endpoint target, long nowNanos, Consumer<PoolAction> actions);

  /**
   * Performs the work that depends on time: expires queued calls, advances ramps, ends ejections
   * and sends load probes.
   */
  void tick(long nowNanos, Consumer<PoolAction> actions);

  /**
   * Releases ownership of the pool: hands back all queued calls and every call that is offered
   * later. Calls that were already sent still run to their end.
   */
  void release(long nowNanos, Consumer<PoolAction> actions);

  /** Returns the current state of the pool as the owner reports it to other VMs. */
  PoolView view(long nowNanos);

  /** Returns the states of the targets for the administration interface. */
  List<TargetStatus> targetStatuses(long nowNanos);
}
