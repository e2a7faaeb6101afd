package org.radishpost.pool;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.radishpost.lib.PoolId;
import org.radishpost.suspects.SuspectRegistry;

/** Creates the pool that implements a {@link BalancingPolicy}. Thread-safe. */
public final class PoolFactory {
  private PoolFactory() {}

  /**
   * Returns a new pool without targets.
   *
   * @param policy the policy by which targets are chosen
   * @param id the ID of the pool
   * @param limits the bounds of the pool
   * @param random the source of randomness for the choice of targets
   * @param suspects the requests that may crash targets, shared by the pools of a VM
   * @param configVersion supplies the version of the current configuration
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
      case BalancingPolicy.RoundRobin roundRobin ->
          new DirectPool(id, roundRobin, random, configVersion);
      case BalancingPolicy.TwoChoices twoChoices ->
          new DirectPool(id, twoChoices, random, configVersion);
      case BalancingPolicy.LeastLoaded leastLoaded ->
          new DirectPool(id, leastLoaded, random, configVersion);
    };
  }
}
