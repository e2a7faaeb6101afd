package org.radishpost.pool;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.radishpost.lib.PoolId;
import org.radishpost.suspects.SuspectRegistry;

/** Makes the pool that a policy asks for; thread-safe. */
public final class PoolFactory {
  private PoolFactory() {}

  /**
   * Returns a new pool without targets.
   *
   * @param policy how targets are picked
   * @param id the identity of the pool
   * @param limits its bounds
   * @param random for choosing among targets
   * @param suspects the requests known to crash targets, shared by the pools of a VM
   * @param configVersion tells the version of the configuration in force
   */
  public static Pool create(
      BalancingPolicy policy,
      PoolId id,
      PoolLimits limits,
      RandomGenerator random,
      SuspectRegistry suspects,
      LongSupplier configVersion) {
    return switch (policy) {
      case BalancingPolicy.Owner owner ->
          new OwnerPool(id, limits, random, suspects, configVersion);
      case BalancingPolicy.RoundRobin r -> new DirectPool(id, r, random, configVersion);
      case BalancingPolicy.TwoChoices t -> new DirectPool(id, t, random, configVersion);
      case BalancingPolicy.LeastLoaded l -> new DirectPool(id, l, random, configVersion);
    };
  }
}
