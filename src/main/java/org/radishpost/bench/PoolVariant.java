package org.radishpost.bench;

import org.radishpost.pool.BalancingPolicy;
import org.radishpost.pool.PoolLimits;

/** The ways of spreading calls that the model compares. */
public enum PoolVariant {
  /** One owner with the call ahead. */
  OWNER(new BalancingPolicy.Owner(), PoolLimits.DEFAULT),
  /** One owner without the call ahead. */
  OWNER_NO_AHEAD(new BalancingPolicy.Owner(), PoolLimits.WITHOUT_EXTRA_CALL),
  /** Each VM in turn. */
  ROUND_ROBIN(new BalancingPolicy.RoundRobin(), PoolLimits.DEFAULT),
  /** Each VM by two random choices. */
  TWO_CHOICES(new BalancingPolicy.TwoChoices(), PoolLimits.DEFAULT),
  /** Each VM by the least of report and own calls. */
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
