package org.radishpost.pool;

/** The policy by which a VM chooses targets. {@link PoolFactory} creates the pool for it. */
public sealed interface BalancingPolicy {
  /** One owner VM queues the calls for all targets and sends each call to the next free slot. */
  record Owner() implements BalancingPolicy {}

  /** Baseline: each VM sends every call immediately, to each target in turn. */
  record RoundRobin() implements BalancingPolicy {}

  /**
   * Baseline: each VM sends every call immediately, to the less loaded of two random targets by its
   * own view.
   */
  record TwoChoices() implements BalancingPolicy {}

  /**
   * Baseline: each VM sends every call immediately, to the target with the smallest sum of the
   * calls in its last load report and the VM's own calls in flight.
   */
  record LeastLoaded() implements BalancingPolicy {}
}
