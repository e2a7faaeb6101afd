package org.radishpost.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.radishpost.lib.CallFacts;
import org.radishpost.lib.Distance;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;

/**
 * Chooses at random, in proportion to the pools' sizes, within the own region, or outside when no
 * pool there is left; for the baselines, which do not look at pools.
 *
 * <p>A pool outside the call's home regions is never chosen. One thread at a time.
 */
public final class ProportionalPoolChooser implements PoolChooser {
  private final Place own;
  private final PoolSlots slots;
  private final RandomGenerator random;

  /**
   * Creates one.
   *
   * @param own where this VM runs
   * @param slots how large pools are
   * @param random the source of random numbers
   */
  public ProportionalPoolChooser(Place own, PoolSlots slots, RandomGenerator random) {
    this.own = own;
    this.slots = slots;
    this.random = random;
  }

  @Override
  public Optional<PoolId> choose(
      CallFacts call, Set<PoolId> candidates, Set<PoolId> tried, long nowNanos) {
    List<PoolId> near = new ArrayList<>();
    List<PoolId> far = new ArrayList<>();
    for (PoolId pool : candidates) {
      if (call.allows(pool.place().region()) && !tried.contains(pool)) {
        (own.distanceTo(pool.place()) == Distance.OTHER_REGION ? far : near).add(pool);
      }
    }
    List<PoolId> usable = near.isEmpty() ? far : near;
    return usable.isEmpty()
        ? Optional.empty()
        : Optional.of(WeightedPick.pick(usable, slots::of, random));
  }

  @Override
  public void seen(PoolView view, long nowNanos) {
    // The baselines do not look at pools.
  }

  @Override
  public void handedBack(PoolId pool, HandBackReason reason, long nowNanos) {
    // The baselines do not look at pools.
  }

  @Override
  public void unreachable(PoolId pool, long nowNanos) {
    // The baselines do not look at pools.
  }
}
