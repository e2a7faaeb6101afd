package org.radishpost.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Distance;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;

/**
 * Chooses a random pool of the local region, weighted by slots, or of another region if no local
 * pool is left. Used by the baselines, which ignore the state of pools.
 *
 * <p>A pool outside the home regions of the call is never chosen. Not thread-safe; callers must
 * synchronize.
 */
public final class ProportionalPoolChooser implements PoolChooser {
  private final Place localPlace;
  private final PoolSlots slots;
  private final RandomGenerator random;

  /**
   * Creates a chooser for the calls of one VM.
   *
   * @param localPlace the place of this VM
   * @param slots the number of slots of each pool
   * @param random the source of random numbers
   */
  public ProportionalPoolChooser(Place localPlace, PoolSlots slots, RandomGenerator random) {
    this.localPlace = localPlace;
    this.slots = slots;
    this.random = random;
  }

  @Override
  public Optional<PoolId> choose(
      CallInfo call, Set<PoolId> candidates, Set<PoolId> tried, long nowNanos) {
    List<PoolId> regional = new ArrayList<>();
    List<PoolId> remote = new ArrayList<>();
    for (PoolId pool : candidates) {
      if (call.allowsRegion(pool.place().region()) && !tried.contains(pool)) {
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
    // The baselines ignore the state of pools.
  }

  @Override
  public void callHandedBack(PoolId pool, HandBackReason reason, long nowNanos) {
    // The baselines ignore the state of pools.
  }

  @Override
  public void ownerUnreachable(PoolId pool, long nowNanos) {
    // The baselines ignore the state of pools.
  }
}
