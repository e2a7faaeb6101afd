package org.radishpost.pool;

/** How a VM picks targets; {@link PoolFactory} makes a pool for each. */
public sealed interface BalancingPolicy {
  /** One owner VM queues for the targets and hands each call to the next free slot. */
  record Owner() implements BalancingPolicy {}

  /** Baseline: each VM sends at once, to each target in turn. */
  record RoundRobin() implements BalancingPolicy {}

  /** Baseline: each VM sends at once, to the better of two random targets by its own view. */
  record TwoChoices() implements BalancingPolicy {}

  /** Baseline: each VM sends at once, to the least of last report and own calls in flight. */
  record LeastLoaded() implements BalancingPolicy {}
}
