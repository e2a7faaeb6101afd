package org.radishpost.routing;

import java.util.random.RandomGenerator;

/**
 * Decides whether a call goes to a farther pool that is expected to be faster.
 *
 * <p>Views are stale and all VMs see the same ones. If all followed every advantage, they would
 * move from pool to pool together; so a call follows an advantage with a probability that grows
 * with it.
 *
 * @param gain the probability for each unit of advantage, as a share of the nearer pool's cost
 */
public record SpillRule(double gain) {
  /** The rule in use; other gains are for comparisons. */
  public static final SpillRule DEFAULT = new SpillRule(1);

  boolean spills(long nearCostNanos, long farCostNanos, RandomGenerator random) {
    if (farCostNanos >= nearCostNanos) {
      return false;
    }
    double advantage = (double) (nearCostNanos - farCostNanos) / nearCostNanos;
    return random.nextDouble() < gain * advantage;
  }
}
