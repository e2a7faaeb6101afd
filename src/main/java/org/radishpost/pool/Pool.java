package org.radishpost.pool;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.radishpost.lib.CallFacts;
import org.radishpost.lib.CallId;
import org.radishpost.lib.Endpoint;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;

/**
 * The decisions of the owner of a pool, without input or output.
 *
 * <p>Every method takes the time on the runtime's monotonic clock in nanoseconds and hands the
 * actions that follow to {@code out}, in order. One thread at a time; the adapter serializes.
 */
public interface Pool {
  /** Sets the targets that may take new work; those missing now drain. */
  void configure(
      ServiceSpec service, List<TargetSpec> targets, long nowNanos, Consumer<PoolAction> actions);

  /** Takes a call into the queue, or hands it back. */
  void offer(CallFacts call, long nowNanos, Consumer<PoolAction> actions);

  /** Ends a call that was sent. */
  void callEnded(CallId call, TargetOutcome outcome, long nowNanos, Consumer<PoolAction> actions);

  /** Takes a queued call out, because its caller went away; a sent call ends by its outcome. */
  void removeQueued(CallId call, long nowNanos, Consumer<PoolAction> actions);

  /** Takes the answer to a probe, empty when there was none. */
  void probeCompleted(
      Endpoint target, Optional<LoadReport> report, long nowNanos, Consumer<PoolAction> actions);

  /** Takes note that the target closed the last idle connection to it: it may have started anew. */
  void idleConnectionsClosed(Endpoint target, long nowNanos, Consumer<PoolAction> actions);

  /**
   * Lets time pass: deadlines of queued calls, ramps, the end of ejections, probes that are due.
   */
  void tick(long nowNanos, Consumer<PoolAction> actions);

  /** Gives the pool up: hands every queued call back and takes no more; sent calls still end. */
  void release(long nowNanos, Consumer<PoolAction> actions);

  /** Returns what others may know of the pool now. */
  PoolView view(long nowNanos);

  /** Returns the targets and their states, for administration. */
  List<TargetStatus> targetStatuses(long nowNanos);
}
