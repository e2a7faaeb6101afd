package org.radishpost.pool;

/** How a VM picks targets; {@link Pools} makes a pool for each. */
public sealed interface TargetPolicy {
  /** One owner VM queues for the targets and hands each call to the next free slot. */
  record Owner() implements TargetPolicy {}

  /** Baseline: each VM sends at once, to each target in turn. */
  record RoundRobin() implements TargetPolicy {}

  /** Baseline: each VM sends at once, to the better of two random targets by its own view. */
  record TwoChoices() implements TargetPolicy {}

  /** Baseline: each VM sends at once, to the least of last report and own calls in flight. */
  record LeastLoaded() implements TargetPolicy {}
}
