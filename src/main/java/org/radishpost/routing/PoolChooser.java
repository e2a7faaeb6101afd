package org.radishpost.routing;

import java.util.Optional;
import java.util.Set;
import org.radishpost.lib.CallFacts;
import org.radishpost.lib.PoolId;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;

/**
 * Chooses the pool for a call by locality, expected wait and what the bytes of the way cost.
 *
 * <p>One thread at a time.
 */
public interface PoolChooser {
  /**
   * Chooses among the pools of the call's service that are in service and within its home regions.
   *
   * @param call the call
   * @param candidates the pools that may serve it
   * @param tried pools that have handed the call back and are not to be chosen again
   * @param nowNanos the time on the runtime's monotonic clock
   */
  Optional<PoolId> choose(CallFacts call, Set<PoolId> candidates, Set<PoolId> tried, long nowNanos);

  /** Takes what a pool's owner told of it. */
  void viewReceived(PoolView view, long nowNanos);

  /** Takes note that a pool handed a call back. */
  void callHandedBack(PoolId pool, HandBackReason reason, long nowNanos);

  /** Takes note that the owner of a pool could not be reached. */
  void ownerUnreachable(PoolId pool, long nowNanos);
}
