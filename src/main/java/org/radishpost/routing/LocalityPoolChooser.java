package org.radishpost.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.radishpost.lib.CallFacts;
import org.radishpost.lib.Distance;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RequestKind;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;

/**
 * Chooses the own zone first, then the own region, then others when they are expected to be faster
 * by enough.
 *
 * <p>The cost of a pool is the way there and back, the expected wait and service, and the price of
 * the body's bytes. Of the pools at one distance the cheaper of two random ones stands for all; a
 * farther one is taken by the {@link SpillRule}. An upload leaves the region only when no pool
 * there takes it or its deadline would pass. A pool outside the call's home regions is never
 * chosen.
 *
 * <p>One thread at a time.
 */
public final class LocalityPoolChooser implements PoolChooser {
  private static final long AVOID_FULL_NANOS = 20_000_000;
  private static final long AVOID_NOT_OWNER_NANOS = 20_000_000;
  private static final long AVOID_NO_TARGET_NANOS = 200_000_000;
  private static final long AVOID_UNREACHABLE_NANOS = 250_000_000;
  private static final long UNKNOWN_UPLOAD_BYTES = 1_048_576;
  private static final long UNKNOWN_BODY_BYTES = 16_384;
  private static final int VIEWS_BETWEEN_SWEEPS = 10_000;

  private final Place own;
  private final LinkCosts costs;
  private final PoolSlots slots;
  private final RandomGenerator random;
  private final SpillRule spillRule;
  private final Map<PoolId, PoolEstimate> estimates = new HashMap<>();
  private int viewsUntilSweep = VIEWS_BETWEEN_SWEEPS;

  /**
   * Creates one.
   *
   * @param own where this VM runs
   * @param costs what ways cost
   * @param slots how large pools are
   * @param random the source of random numbers
   */
  public LocalityPoolChooser(Place own, LinkCosts costs, PoolSlots slots, RandomGenerator random) {
    this(own, costs, slots, random, SpillRule.DEFAULT);
  }

  /**
   * Creates one with its own rule, for comparisons.
   *
   * @param own where this VM runs
   * @param costs what ways cost
   * @param slots how large pools are
   * @param random the source of random numbers
   * @param spillRule when a call goes to a farther pool
   */
  public LocalityPoolChooser(
      Place own, LinkCosts costs, PoolSlots slots, RandomGenerator random, SpillRule spillRule) {
    this.own = own;
    this.costs = costs;
    this.slots = slots;
    this.random = random;
    this.spillRule = spillRule;
  }

  @Override
  public Optional<PoolId> choose(
      CallFacts call, Set<PoolId> candidates, Set<PoolId> tried, long nowNanos) {
    List<PoolCandidate> allowed = allowed(call, candidates, tried, nowNanos);
    List<PoolCandidate> usable = usable(call, allowed, !tried.isEmpty(), nowNanos);
    Optional<PoolCandidate> chosen = nearestUnlessSpilled(usable);
    chosen.ifPresent(candidate -> candidate.estimate().sent());
    return chosen.map(PoolCandidate::pool);
  }

  @Override
  public void seen(PoolView view, long nowNanos) {
    if (slots.of(view.pool()) == 0) {
      return;
    }
    sweepAtTimes();
    PoolEstimate estimate = estimate(view.pool());
    estimate.seen(view, nowNanos);
    if (view.slots() == 0) {
      estimate.avoid(nowNanos + spread(AVOID_NO_TARGET_NANOS));
    }
  }

  @Override
  public void handedBack(PoolId pool, HandBackReason reason, long nowNanos) {
    long avoidNanos =
        switch (reason) {
          case QUEUE_FULL -> AVOID_FULL_NANOS;
          case NOT_OWNER -> AVOID_NOT_OWNER_NANOS;
          case NO_TARGET -> AVOID_NO_TARGET_NANOS;
          case TOO_LATE, SUSPECT -> 0;
        };
    if (avoidNanos > 0) {
      estimate(pool).avoid(nowNanos + spread(avoidNanos));
    }
  }

  @Override
  public void unreachable(PoolId pool, long nowNanos) {
    estimate(pool).unreachable(nowNanos + spread(AVOID_UNREACHABLE_NANOS));
  }

  /** Returns the candidates within the home regions that an answer can come back from in time. */
  private List<PoolCandidate> allowed(
      CallFacts call, Set<PoolId> candidates, Set<PoolId> tried, long nowNanos) {
    long remaining = call.deadlineNanos() - nowNanos;
    long unknownService = leastKnownService(candidates);
    List<PoolCandidate> allowed = new ArrayList<>(candidates.size());
    for (PoolId pool : candidates) {
      Distance distance = own.distanceTo(pool.place());
      boolean inTime = costs.roundTripNanos(distance) < remaining;
      if (inTime && call.allows(pool.place().region()) && !tried.contains(pool)) {
        allowed.add(candidate(call, pool, distance, unknownService, nowNanos));
      }
    }
    return allowed;
  }

  private PoolCandidate candidate(
      CallFacts call, PoolId pool, Distance distance, long unknownService, long nowNanos) {
    PoolEstimate estimate = estimate(pool);
    long cost =
        costs.roundTripNanos(distance)
            + costs.byteNanos(distance, bodyBytes(call))
            + estimate.waitNanos(nowNanos)
            + estimate.serviceNanos(unknownService);
    return new PoolCandidate(pool, distance, slots.of(pool), estimate, cost);
  }

  /**
   * Leaves out pools to be avoided. When all are, a call that was not handed back yet may go to one
   * of them, as the reason may be over; a call that was is not sent round all of them.
   */
  private static List<PoolCandidate> usable(
      CallFacts call, List<PoolCandidate> allowed, boolean wasHandedBack, long nowNanos) {
    List<PoolCandidate> free =
        filter(allowed, candidate -> !candidate.estimate().isAvoided(nowNanos));
    if (!free.isEmpty()) {
      return call.kind() == RequestKind.UPLOAD ? forUpload(call, free, nowNanos) : free;
    }
    if (wasHandedBack) {
      return List.of();
    }
    List<PoolCandidate> reached =
        filter(allowed, candidate -> !candidate.estimate().isUnreachable());
    return reached.isEmpty() ? allowed : reached;
  }

  private static List<PoolCandidate> forUpload(
      CallFacts call, List<PoolCandidate> free, long nowNanos) {
    long remaining = call.deadlineNanos() - nowNanos;
    List<PoolCandidate> near =
        filter(free, each -> each.isInOwnRegion() && each.costNanos() < remaining);
    return near.isEmpty() ? free : near;
  }

  private Optional<PoolCandidate> nearestUnlessSpilled(List<PoolCandidate> usable) {
    PoolCandidate chosen = null;
    for (Distance distance : Distance.values()) {
      List<PoolCandidate> there = filter(usable, each -> each.distance() == distance);
      if (there.isEmpty()) {
        continue;
      }
      PoolCandidate best = betterOfTwo(there);
      if (chosen == null || spillRule.spills(chosen.costNanos(), best.costNanos(), random)) {
        chosen = best;
      }
    }
    return Optional.ofNullable(chosen);
  }

  private PoolCandidate betterOfTwo(List<PoolCandidate> there) {
    if (there.size() == 1) {
      return there.getFirst();
    }
    PoolCandidate one = WeightedPick.pick(there, PoolCandidate::slots, random);
    List<PoolCandidate> rest = filter(there, each -> each != one);
    PoolCandidate other = WeightedPick.pick(rest, PoolCandidate::slots, random);
    return other.costNanos() < one.costNanos() ? other : one;
  }

  private long leastKnownService(Set<PoolId> candidates) {
    return candidates.stream()
        .map(this::estimate)
        .filter(PoolEstimate::isKnown)
        .mapToLong(estimate -> estimate.serviceNanos(0))
        .min()
        .orElse(0);
  }

  private PoolEstimate estimate(PoolId pool) {
    return estimates.computeIfAbsent(pool, unused -> new PoolEstimate());
  }

  /** Spreads a time over 0.5 to 1.5 of it, so that VMs do not come back together. */
  private long spread(long nanos) {
    return nanos / 2 + random.nextLong(nanos);
  }

  /** Forgets pools that are no longer in service. */
  private void sweepAtTimes() {
    if (--viewsUntilSweep > 0) {
      return;
    }
    viewsUntilSweep = VIEWS_BETWEEN_SWEEPS;
    estimates.keySet().removeIf(pool -> slots.of(pool) == 0);
  }

  private static long bodyBytes(CallFacts call) {
    if (call.bodyBytes() >= 0) {
      return call.bodyBytes();
    }
    return call.kind() == RequestKind.UPLOAD ? UNKNOWN_UPLOAD_BYTES : UNKNOWN_BODY_BYTES;
  }

  private static List<PoolCandidate> filter(
      List<PoolCandidate> all, Predicate<PoolCandidate> condition) {
    List<PoolCandidate> kept = new ArrayList<>(all.size());
    for (PoolCandidate each : all) {
      if (condition.test(each)) {
        kept.add(each);
      }
    }
    return kept;
  }
}
