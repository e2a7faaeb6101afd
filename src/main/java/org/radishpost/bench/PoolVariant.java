package org.radishpost.bench;

import org.radishpost.pool.PoolLimits;
import org.radishpost.pool.TargetPolicy;

/** The ways of spreading calls that the model compares. */
public enum PoolVariant {
  /** One owner with the call ahead. */
  OWNER(new TargetPolicy.Owner(), PoolLimits.DEFAULT),
  /** One owner without the call ahead. */
  OWNER_NO_AHEAD(new TargetPolicy.Owner(), PoolLimits.NO_CALL_AHEAD),
  /** Each VM in turn. */
  ROUND_ROBIN(new TargetPolicy.RoundRobin(), PoolLimits.DEFAULT),
  /** Each VM by two random choices. */
  TWO_CHOICES(new TargetPolicy.TwoChoices(), PoolLimits.DEFAULT),
  /** Each VM by the least of report and own calls. */
  LEAST_LOADED(new TargetPolicy.LeastLoaded(), PoolLimits.DEFAULT);

  private final TargetPolicy policy;
  private final PoolLimits limits;

  PoolVariant(TargetPolicy policy, PoolLimits limits) {
    this.policy = policy;
    this.limits = limits;
  }

  TargetPolicy policy() {
    return policy;
  }

  PoolLimits limits() {
    return limits;
  }

  boolean owned() {
    return policy instanceof TargetPolicy.Owner;
  }
}
