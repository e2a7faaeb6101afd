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
  private final Place localPlace;
  private final PoolSlots slots;
  private final RandomGenerator random;

  /**
   * Creates one.
   *
   * @param localPlace where this VM runs
   * @param slots how large pools are
   * @param random the source of random numbers
   */
  public ProportionalPoolChooser(Place localPlace, PoolSlots slots, RandomGenerator random) {
    this.localPlace = localPlace;
    this.slots = slots;
    this.random = random;
  }

  @Override
  public Optional<PoolId> choose(
      CallFacts call, Set<PoolId> candidates, Set<PoolId> tried, long nowNanos) {
    List<PoolId> regional = new ArrayList<>();
    List<PoolId> remote = new ArrayList<>();
    for (PoolId pool : candidates) {
      if (call.allows(pool.place().region()) && !tried.contains(pool)) {
        (localPlace.distanceTo(pool.place()) == Distance.OTHER_REGION ? remote : regional)
            .add(pool);
      }
    }
    List<PoolId> usable = regional.isEmpty() ? remote : regional;
    return usable.isEmpty()
        ? Optional.empty()
        : Optional.of(WeightedRandom.pick(usable, slots::of, random));
  }

  @Override
  public void viewReceived(PoolView view, long nowNanos) {
    // The baselines do not look at pools.
  }

  @Override
  public void callHandedBack(PoolId pool, HandBackReason reason, long nowNanos) {
    // The baselines do not look at pools.
  }

  @Override
  public void ownerUnreachable(PoolId pool, long nowNanos) {
    // The baselines do not look at pools.
  }
}
