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
   * Creates one.
   *
   * @param localPlace where this VM runs
   * @param linkCosts what ways cost
   * @param slots how large pools are
   * @param random the source of random numbers
   */
  public LocalityPoolChooser(
      Place localPlace, LinkCosts linkCosts, PoolSlots slots, RandomGenerator random) {
    this(localPlace, linkCosts, slots, random, SpillRule.DEFAULT);
  }

  /**
   * Creates one with its own rule, for comparisons.
   *
   * @param localPlace where this VM runs
   * @param linkCosts what ways cost
   * @param slots how large pools are
   * @param random the source of random numbers
   * @param spillRule when a call goes to a farther pool
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
      CallFacts call, Set<PoolId> candidates, Set<PoolId> tried, long nowNanos) {
    List<PoolCandidate> reachable = reachable(call, candidates, tried, nowNanos);
    List<PoolCandidate> usable = withoutAvoided(call, reachable, !tried.isEmpty(), nowNanos);
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

  /** Returns the candidates within the home regions that an answer can come back from in time. */
  private List<PoolCandidate> reachable(
      CallFacts call, Set<PoolId> candidates, Set<PoolId> tried, long nowNanos) {
    long remainingNanos = call.deadlineNanos() - nowNanos;
    long defaultServiceNanos = minKnownServiceNanos(candidates);
    List<PoolCandidate> reachable = new ArrayList<>(candidates.size());
    for (PoolId pool : candidates) {
      Distance distance = localPlace.distanceTo(pool.place());
      boolean inTime = linkCosts.roundTripNanos(distance) < remainingNanos;
      if (inTime && call.allows(pool.place().region()) && !tried.contains(pool)) {
        reachable.add(candidate(call, pool, distance, defaultServiceNanos, nowNanos));
      }
    }
    return reachable;
  }

  private PoolCandidate candidate(
      CallFacts call, PoolId pool, Distance distance, long defaultServiceNanos, long nowNanos) {
    PoolEstimate estimate = estimate(pool);
    long costNanos =
        linkCosts.roundTripNanos(distance)
            + linkCosts.byteNanos(distance, bodyBytes(call))
            + estimate.waitNanos(nowNanos)
            + estimate.serviceNanos(defaultServiceNanos);
    return new PoolCandidate(pool, distance, slots.of(pool), estimate, costNanos);
  }

  /**
   * Leaves out pools to be avoided. When all are, a call that was not handed back yet may go to one
   * of them, as the reason may be over; a call that was is not sent round all of them.
   */
  private static List<PoolCandidate> withoutAvoided(
      CallFacts call, List<PoolCandidate> reachable, boolean wasHandedBack, long nowNanos) {
    List<PoolCandidate> notAvoided =
        filter(reachable, candidate -> !candidate.estimate().isAvoided(nowNanos));
    if (!notAvoided.isEmpty()) {
      return call.kind() == RequestKind.UPLOAD
          ? preferOwnRegion(call, notAvoided, nowNanos)
          : notAvoided;
    }
    if (wasHandedBack) {
      return List.of();
    }
    List<PoolCandidate> ownerReachable =
        filter(reachable, candidate -> !candidate.estimate().isUnreachable());
    return ownerReachable.isEmpty() ? reachable : ownerReachable;
  }

  private static List<PoolCandidate> preferOwnRegion(
      CallFacts call, List<PoolCandidate> notAvoided, long nowNanos) {
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

  /** Spreads a time over 0.5 to 1.5 of it, so that VMs do not come back together. */
  private long jitter(long nanos) {
    return nanos / 2 + random.nextLong(nanos);
  }

  /** Forgets pools that are no longer in service. */
  private void sweepPeriodically() {
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
