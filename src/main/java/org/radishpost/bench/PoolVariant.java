package org.radishpost.bench;

import org.radishpost.pool.BalancingPolicy;
import org.radishpost.pool.PoolLimits;

/** The combinations of balancing policy and pool limits that {@link PoolModel} compares. */
public enum PoolVariant {
  /** One owner VM dispatches all calls and may send extra calls to warm targets. */
  OWNER(new BalancingPolicy.Owner(), PoolLimits.DEFAULT),
  /** One owner VM dispatches all calls and sends no extra calls. */
  OWNER_NO_AHEAD(new BalancingPolicy.Owner(), PoolLimits.WITHOUT_EXTRA_CALL),
  /** Each VM sends its calls to the targets in turn. */
  ROUND_ROBIN(new BalancingPolicy.RoundRobin(), PoolLimits.DEFAULT),
  /** Each VM sends a call to the less loaded of two random targets. */
  TWO_CHOICES(new BalancingPolicy.TwoChoices(), PoolLimits.DEFAULT),
  /**
   * Each VM sends a call to the target with the smallest sum of the calls in its last load report
   * and the VM's own calls in flight.
   */
  LEAST_LOADED(new BalancingPolicy.LeastLoaded(), PoolLimits.DEFAULT);

  private final BalancingPolicy policy;
  private final PoolLimits limits;

  PoolVariant(BalancingPolicy policy, PoolLimits limits) {
    this.policy = policy;
    this.limits = limits;
  }

  BalancingPolicy policy() {
    return policy;
  }

  PoolLimits limits() {
    return limits;
  }

  boolean hasOwner() {
    return policy instanceof BalancingPolicy.Owner;
  }
}
