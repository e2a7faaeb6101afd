package org.radishpost.routing;

import java.util.Optional;
import java.util.Set;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.PoolId;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;

/**
 * Chooses the pool for a call by locality, expected queue wait and transfer cost.
 *
 * <p>Not thread-safe; callers must synchronize.
 */
public interface PoolChooser {
  /**
   * Chooses one of the pools that are in service and within the home regions of the call.
   *
   * @param call the call
   * @param candidates the pools of the call's service
   * @param tried the pools that have handed the call back and must not be chosen again
   * @param nowNanos the current time on the runtime's monotonic clock
   * @return the pool, or empty if no candidate can be chosen
   */
  Optional<PoolId> choose(CallInfo call, Set<PoolId> candidates, Set<PoolId> tried, long nowNanos);

  /** Records a view of a pool received from its owner. */
  void viewReceived(PoolView view, long nowNanos);

  /** Records that a pool handed a call back. */
  void callHandedBack(PoolId pool, HandBackReason reason, long nowNanos);

  /** Records that the owner of a pool could not be reached. */
  void ownerUnreachable(PoolId pool, long nowNanos);
}
