package org.radishpost.routing;

import java.util.random.RandomGenerator;

/**
 * Decides whether a call goes to a more distant pool that is expected to be faster.
 *
 * <p>Pool views are stale, and all VMs receive the same ones. If every VM always chose the cheapest
 * pool, their load would oscillate between pools. A call therefore goes to the more distant pool
 * with a probability that grows with the relative cost advantage.
 *
 * @param gain the factor from relative cost advantage to probability; the advantage is relative to
 *     the cost of the nearer pool
 */
public record SpillRule(double gain) {
  /** The rule used in production; other gains are used for comparisons. */
  public static final SpillRule DEFAULT = new SpillRule(1);

  boolean spills(long localCostNanos, long remoteCostNanos, RandomGenerator random) {
    if (remoteCostNanos >= localCostNanos) {
      return false;
    }
    double advantage = (double) (localCostNanos - remoteCostNanos) / localCostNanos;
    return random.nextDouble() < gain * advantage;
  }
}
