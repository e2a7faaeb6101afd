package org.radishpost.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Distance;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RequestKind;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;

/**
 * Prefers pools in the local zone, then in the local region, and chooses a more distant pool only
 * if it is expected to be faster.
 *
 * <p>The cost of a pool is the sum of the network round trip, the expected queue wait, the service
 * time and the transfer cost of the body. At each distance, the cheaper of two random pools is the
 * candidate. The {@link SpillRule} decides whether a more distant candidate replaces a nearer one.
 * An upload leaves the region only if all pools there are avoided or would miss the deadline. A
 * pool outside the home regions of the call is never chosen.
 *
 * <p>Not thread-safe; callers must synchronize.
 */
public final class LocalityPoolChooser implements PoolChooser {
  private static final long AVOID_AFTER_QUEUE_FULL_NANOS = 20_000_000;
  private static final long AVOID_AFTER_NOT_OWNER_NANOS = 20_000_000;
  private static final long AVOID_AFTER_NO_TARGET_NANOS = 200_000_000;
  private static final long AVOID_AFTER_UNREACHABLE_NANOS = 250_000_000;
  private static final long DEFAULT_UPLOAD_BYTES = 1_048_576;
  private static final long DEFAULT_BODY_BYTES = 16_384;
  private static final int VIEWS_BETWEEN_SWEEPS = 10_000;

  private final Place localPlace;
  private final LinkCosts linkCosts;
  private final PoolSlots slots;
  private final RandomGenerator random;
  private final SpillRule spillRule;
  private final Map<PoolId, PoolEstimate> estimates = new HashMap<>();
  private int viewsUntilSweep = VIEWS_BETWEEN_SWEEPS;

  /**
   * Creates a chooser with the default spill rule.
   *
   * @param localPlace the place of this VM
   * @param linkCosts the cost of sending a call to another VM
   * @param slots the number of slots of each pool
   * @param random the source of random numbers
   */
  public LocalityPoolChooser(
      Place localPlace, LinkCosts linkCosts, PoolSlots slots, RandomGenerator random) {
    this(localPlace, linkCosts, slots, random, SpillRule.DEFAULT);
  }

  /**
   * Creates a chooser with another spill rule, for comparisons.
   *
   * @param localPlace the place of this VM
   * @param linkCosts the cost of sending a call to another VM
   * @param slots the number of slots of each pool
   * @param random the source of random numbers
   * @param spillRule decides whether a call goes to a more distant pool
   */
  public LocalityPoolChooser(
      Place localPlace,
      LinkCosts linkCosts,
      PoolSlots slots,
      RandomGenerator random,
      SpillRule spillRule) {
    this.localPlace = localPlace;
    this.linkCosts = linkCosts;
    this.slots = slots;
    this.random = random;
    this.spillRule = spillRule;
  }

  @Override
  public Optional<PoolId> choose(
      CallInfo call, Set<PoolId> candidates, Set<PoolId> tried, long nowNanos) {
    List<PoolCandidate> eligible = eligible(call, candidates, tried, nowNanos);
    List<PoolCandidate> usable = withoutAvoided(call, eligible, !tried.isEmpty(), nowNanos);
    Optional<PoolCandidate> chosen = nearestUnlessSpilled(usable);
    chosen.ifPresent(candidate -> candidate.estimate().recordSend());
    return chosen.map(PoolCandidate::pool);
  }

  @Override
  public void viewReceived(PoolView view, long nowNanos) {
    if (slots.of(view.pool()) == 0) {
      return;
    }
    sweepPeriodically();
    PoolEstimate estimate = estimate(view.pool());
    estimate.update(view, nowNanos);
    if (view.slots() == 0) {
      estimate.avoid(nowNanos + jitter(AVOID_AFTER_NO_TARGET_NANOS));
    }
  }

  @Override
  public void callHandedBack(PoolId pool, HandBackReason reason, long nowNanos) {
    long avoidNanos =
        switch (reason) {
          case QUEUE_FULL -> AVOID_AFTER_QUEUE_FULL_NANOS;
          case NOT_OWNER -> AVOID_AFTER_NOT_OWNER_NANOS;
          case NO_TARGET -> AVOID_AFTER_NO_TARGET_NANOS;
          case TOO_LATE, SUSPECT -> 0;
        };
    if (avoidNanos > 0) {
      estimate(pool).avoid(nowNanos + jitter(avoidNanos));
    }
  }

  @Override
  public void ownerUnreachable(PoolId pool, long nowNanos) {
    estimate(pool).recordUnreachable(nowNanos + jitter(AVOID_AFTER_UNREACHABLE_NANOS));
  }

  /** Returns the untried pools in the home regions whose round trip is within the deadline. */
  private List<PoolCandidate> eligible(
      CallInfo call, Set<PoolId> candidates, Set<PoolId> tried, long nowNanos) {
    long remainingNanos = call.deadlineNanos() - nowNanos;
    long defaultServiceNanos = minKnownServiceNanos(candidates);
    List<PoolCandidate> eligible = new ArrayList<>(candidates.size());
    for (PoolId pool : candidates) {
      Distance distance = localPlace.distanceTo(pool.place());
      boolean inTime = linkCosts.roundTripNanos(distance) < remainingNanos;
      if (inTime && call.allowsRegion(pool.place().region()) && !tried.contains(pool)) {
        eligible.add(candidate(call, pool, distance, defaultServiceNanos, nowNanos));
      }
    }
    return eligible;
  }

  private PoolCandidate candidate(
      CallInfo call, PoolId pool, Distance distance, long defaultServiceNanos, long nowNanos) {
    PoolEstimate estimate = estimate(pool);
    long costNanos =
        linkCosts.roundTripNanos(distance)
            + linkCosts.byteNanos(distance, bodyBytes(call))
            + estimate.waitNanos(nowNanos)
            + estimate.serviceNanos(defaultServiceNanos);
    return new PoolCandidate(pool, distance, slots.of(pool), estimate, costNanos);
  }

  /**
   * Returns the pools that are not currently avoided. If all are avoided, a call that has not been
   * handed back may still go to one of them, because the reason may no longer apply. A call that
   * has been handed back gets no pool, so that it does not try all of them in turn.
   */
  private static List<PoolCandidate> withoutAvoided(
      CallInfo call, List<PoolCandidate> eligible, boolean wasHandedBack, long nowNanos) {
    List<PoolCandidate> notAvoided =
        filter(eligible, candidate -> !candidate.estimate().isAvoided(nowNanos));
    if (!notAvoided.isEmpty()) {
      return call.kind() == RequestKind.UPLOAD
          ? preferOwnRegion(call, notAvoided, nowNanos)
          : notAvoided;
    }
    if (wasHandedBack) {
      return List.of();
    }
    List<PoolCandidate> ownerReachable =
        filter(eligible, candidate -> !candidate.estimate().isUnreachable());
    return ownerReachable.isEmpty() ? eligible : ownerReachable;
  }

  private static List<PoolCandidate> preferOwnRegion(
      CallInfo call, List<PoolCandidate> notAvoided, long nowNanos) {
    long remainingNanos = call.deadlineNanos() - nowNanos;
    List<PoolCandidate> regional =
        filter(
            notAvoided,
            candidate -> candidate.isInOwnRegion() && candidate.costNanos() < remainingNanos);
    return regional.isEmpty() ? notAvoided : regional;
  }

  private Optional<PoolCandidate> nearestUnlessSpilled(List<PoolCandidate> usable) {
    PoolCandidate chosen = null;
    for (Distance distance : Distance.values()) {
      List<PoolCandidate> atDistance =
          filter(usable, candidate -> candidate.distance() == distance);
      if (atDistance.isEmpty()) {
        continue;
      }
      PoolCandidate best = betterOfTwo(atDistance);
      if (chosen == null || spillRule.spills(chosen.costNanos(), best.costNanos(), random)) {
        chosen = best;
      }
    }
    return Optional.ofNullable(chosen);
  }

  private PoolCandidate betterOfTwo(List<PoolCandidate> candidates) {
    if (candidates.size() == 1) {
      return candidates.getFirst();
    }
    PoolCandidate first = WeightedRandom.pick(candidates, PoolCandidate::slots, random);
    List<PoolCandidate> others = filter(candidates, candidate -> candidate != first);
    PoolCandidate second = WeightedRandom.pick(others, PoolCandidate::slots, random);
    return second.costNanos() < first.costNanos() ? second : first;
  }

  private long minKnownServiceNanos(Set<PoolId> candidates) {
    return candidates.stream()
        .map(this::estimate)
        .filter(PoolEstimate::hasView)
        .mapToLong(estimate -> estimate.serviceNanos(0))
        .min()
        .orElse(0);
  }

  private PoolEstimate estimate(PoolId pool) {
    return estimates.computeIfAbsent(pool, unused -> new PoolEstimate());
  }

  /**
   * Returns a random duration of 0.5 to 1.5 times the given one. The jitter prevents VMs from
   * retrying at the same time.
   */
  private long jitter(long nanos) {
    return nanos / 2 + random.nextLong(nanos);
  }

  /**
   * Removes the estimates of pools that are no longer in service, once every {@value
   * #VIEWS_BETWEEN_SWEEPS} views.
   */
  private void sweepPeriodically() {
    if (--viewsUntilSweep > 0) {
      return;
    }
    viewsUntilSweep = VIEWS_BETWEEN_SWEEPS;
    estimates.keySet().removeIf(pool -> slots.of(pool) == 0);
  }

  private static long bodyBytes(CallInfo call) {
    if (call.bodyBytes() >= 0) {
      return call.bodyBytes();
    }
    return call.kind() == RequestKind.UPLOAD ? DEFAULT_UPLOAD_BYTES : DEFAULT_BODY_BYTES;
  }

  private static List<PoolCandidate> filter(
      List<PoolCandidate> candidates, Predicate<PoolCandidate> condition) {
    List<PoolCandidate> kept = new ArrayList<>(candidates.size());
    for (PoolCandidate candidate : candidates) {
      if (condition.test(candidate)) {
        kept.add(candidate);
      }
    }
    return kept;
  }
}
