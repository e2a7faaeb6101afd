package org.radishpost.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.radishpost.lib.Distance;
import org.radishpost.lib.Place;

/**
 * Chooses the target of a call and whom to ask for load before that.
 *
 * <p>It answers load that shifts within milliseconds: a target that shares its machine may be four
 * times slower for some hundred milliseconds, and only the target itself knows. So those near by
 * are asked just before a call is sent, and it goes where it costs least: the chance of a late
 * answer plus the traffic. Confined to one thread.
 */
public final class TargetSelector {
  /** How old a sample may be to be used instead of a new question. */
  public static final long FRESH_SAMPLE_NANOS = 12_000_000L;

  private static final int MAX_PROBED_TARGETS = 6;
  private static final int MAX_PROBED_REMOTE_TARGETS = 4;
  private static final Duration REGIONAL_PROBE_WAIT = Duration.ofMillis(20);
  private static final Duration REMOTE_PROBE_WAIT = Duration.ofMillis(45);
  private static final long MAX_SAMPLE_AGE_NANOS = 400_000_000L;
  private static final double LATENESS_SCALE = 0.30;
  private static final double LATE_RESPONSE_COST = 0.9;
  private static final double MISSED_DEADLINE_COST = 3;
  private static final double COST_PER_EXPECTED_SECOND = 0.05;
  private static final double COLD_TARGET_COST = 2;
  private static final double SUSPENDED_TARGET_COST = 4;
  private static final double NO_SAMPLE_COST = 0.4;
  private static final double MAX_TIE_BREAK_COST = 0.1;
  private static final double REMOTE_PROBE_MIN_COST = 0.5;

  /**
   * Calls at a target, as multiples of its slots, from which on it is full: about one may wait
   * there. In a burst the others wait at the entry, where they can still go to the first target
   * that has room.
   */
  private static final double FULL_CALLS_PER_SLOT = 4 / 3.0;

  private static final double BUSY_SLOT_FRACTION = 0.8;
  private static final double BUSY_SLOWDOWN_FACTOR = 1.4;
  private static final double HEDGE_RESERVED_SERVICE_TIMES = 1.25;
  private static final double MIN_HEDGE_DELAY_SERVICE_TIMES = 1.3;
  private static final double DEFAULT_SLOWDOWN_PERCENT = 175;

  private final Place localPlace;
  private final RouteServiceTimes serviceTimes;
  private final ColdTargetLimiter coldTargetLimiter;
  private final RandomGenerator random;

  /**
   * Creates it.
   *
   * @param localPlace where this VM runs
   * @param serviceTimes how long calls take
   * @param coldTargetLimiter which cold targets may be used
   * @param random picks among targets that are alike
   */
  public TargetSelector(
      Place localPlace,
      RouteServiceTimes serviceTimes,
      ColdTargetLimiter coldTargetLimiter,
      RandomGenerator random) {
    this.localPlace = localPlace;
    this.serviceTimes = serviceTimes;
    this.coldTargetLimiter = coldTargetLimiter;
    this.random = random;
  }

  /** Returns the targets to ask now: the nearest that may serve and have said nothing lately. */
  public List<TrackedTarget> targetsToProbe(List<TrackedTarget> candidates, long nowNanos) {
    List<TrackedTarget> nearest = nearestAvailable(candidates, nowNanos);
    nearest.removeIf(target -> target.sample(FRESH_SAMPLE_NANOS, nowNanos).isPresent());
    return nearest;
  }

  /** Returns some targets of other regions to ask when none near by is good enough. */
  public List<TrackedTarget> remoteTargetsToProbe(List<TrackedTarget> candidates, long nowNanos) {
    List<TrackedTarget> remote = new ArrayList<>(candidates);
    remote.removeIf(
        target ->
            distance(target) != Distance.OTHER_REGION
                || target.suspended(nowNanos)
                || target.cold(nowNanos)
                || target.sample(FRESH_SAMPLE_NANOS, nowNanos).isPresent());
    Collections.shuffle(remote, random);
    return remote.subList(0, Math.min(MAX_PROBED_REMOTE_TARGETS, remote.size()));
  }

  /** Returns how long to wait for the answers of the targets that are asked. */
  public Duration probeWait(List<TrackedTarget> probed) {
    boolean anyRemote =
        probed.stream().anyMatch(target -> distance(target) == Distance.OTHER_REGION);
    return anyRemote ? REMOTE_PROBE_WAIT : REGIONAL_PROBE_WAIT;
  }

  /** Tells whether it is worth to ask in other regions before a choice is followed. */
  public boolean shouldProbeRemote(Selection selection) {
    return selection.cost() > REMOTE_PROBE_MIN_COST
        && distance(selection.target()) != Distance.OTHER_REGION;
  }

  private List<TrackedTarget> nearestAvailable(List<TrackedTarget> candidates, long nowNanos) {
    List<TrackedTarget> sorted = new ArrayList<>(candidates);
    sorted.removeIf(target -> target.suspended(nowNanos) || target.cold(nowNanos));
    Collections.shuffle(sorted, random);
    sorted.sort(Comparator.comparing(this::distance));
    boolean anyRegional = !sorted.isEmpty() && distance(sorted.getFirst()) != Distance.OTHER_REGION;
    if (anyRegional) {
      sorted.removeIf(target -> distance(target) == Distance.OTHER_REGION);
    }
    return new ArrayList<>(sorted.subList(0, Math.min(MAX_PROBED_TARGETS, sorted.size())));
  }

  /** Tells whether no other answer could better this target much: near, free and quick. */
  public boolean idleInSameZone(TrackedTarget target, long nowNanos) {
    if (distance(target) != Distance.SAME_ZONE || target.suspended(nowNanos)) {
      return false;
    }
    return target
        .sample(FRESH_SAMPLE_NANOS, nowNanos)
        .filter(sample -> sample.slowdownPercent() <= LoadSample.NO_SLOWDOWN_PERCENT)
        .filter(sample -> sample.running() + sample.waiting() + target.sentSinceSample() == 0)
        .isPresent();
  }

  /** Returns the target with the least cost, if there is any. */
  public Optional<Selection> select(
      List<TrackedTarget> candidates, PlacementRequest call, long nowNanos) {
    Selection best = null;
    for (TrackedTarget target : candidates) {
      if (!target.usable(nowNanos) || !coldTargetLimiter.admits(target, nowNanos)) {
        continue;
      }
      Selection selection = evaluate(target, call, nowNanos);
      if (best == null || selection.cost() < best.cost()) {
        best = selection;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns how long to wait for an answer before the call is also sent to a second target: until
   * the second one can just be in time, but not before a usual answer would be there.
   */
  public long hedgeDelayNanos(PlacementRequest call, long nowNanos) {
    double serviceNanos = serviceTimes.serviceNanos(call.route());
    double latestDelayNanos =
        call.respondByNanos() - nowNanos - HEDGE_RESERVED_SERVICE_TIMES * serviceNanos;
    return (long) Math.max(MIN_HEDGE_DELAY_SERVICE_TIMES * serviceNanos, latestDelayNanos);
  }

  /** Tells whether the answer of a choice is expected in time. */
  public boolean expectedInTime(Selection selection, PlacementRequest call, long nowNanos) {
    return !selection.target().suspended(nowNanos)
        && selection.expectedNanos() <= call.respondByNanos() - nowNanos;
  }

  private Selection evaluate(TrackedTarget target, PlacementRequest call, long nowNanos) {
    double expectedNanos = expectedNanos(target, call, nowNanos);
    double remainingNanos = Math.max(1, call.respondByNanos() - nowNanos);
    double lateProbability =
        1 / (1 + Math.exp(-Math.log(expectedNanos / remainingNanos) / LATENESS_SCALE));
    double cost =
        LATE_RESPONSE_COST * lateProbability + COST_PER_EXPECTED_SECOND * expectedNanos / 1e9;
    cost += DistanceCosts.trafficCost(distance(target), call.trafficKilobytes());
    if (expectedNanos > call.deadlineNanos() - nowNanos) {
      cost += MISSED_DEADLINE_COST;
    }
    if (target.cold(nowNanos)) {
      cost += COLD_TARGET_COST;
    }
    if (target.suspended(nowNanos)) {
      cost += SUSPENDED_TARGET_COST;
    }
    boolean noSample = target.sample(MAX_SAMPLE_AGE_NANOS, nowNanos).isEmpty();
    if (noSample) {
      cost += NO_SAMPLE_COST + MAX_TIE_BREAK_COST * random.nextDouble();
    }
    return new Selection(target, cost, (long) expectedNanos, full(target, nowNanos));
  }

  /** Tells whether the target has said that more calls wait there than it can soon run. */
  private static boolean full(TrackedTarget target, long nowNanos) {
    return target
        .sample(MAX_SAMPLE_AGE_NANOS, nowNanos)
        .filter(
            sample ->
                sample.running() + sample.waiting() + target.sentSinceSample()
                    >= FULL_CALLS_PER_SLOT * sample.slots())
        .isPresent();
  }

  /** Returns how long the call would take at the target, the way there and back included. */
  private double expectedNanos(TrackedTarget target, PlacementRequest call, long nowNanos) {
    double serviceNanos = serviceTimes.serviceNanos(call.route());
    Optional<LoadSample> sample = target.sample(MAX_SAMPLE_AGE_NANOS, nowNanos);
    int slots = Math.max(1, sample.map(LoadSample::slots).orElse(target.target().slots()));
    int callsAhead =
        sample
            .map(recent -> recent.running() + recent.waiting() + target.sentSinceSample())
            .orElse(Math.max(1, target.inFlight()));
    double slowdownPercent =
        sample.map(recent -> (double) recent.slowdownPercent()).orElse(DEFAULT_SLOWDOWN_PERCENT);
    double queueFactor = 1 + (double) Math.max(0, callsAhead + 1 - slots) / slots;
    double busyFactor = callsAhead + 1 > BUSY_SLOT_FRACTION * slots ? BUSY_SLOWDOWN_FACTOR : 1;
    return serviceNanos
            * slowdownPercent
            / LoadSample.NO_SLOWDOWN_PERCENT
            * queueFactor
            * busyFactor
        + DistanceCosts.roundTripNanos(distance(target));
  }

  private Distance distance(TrackedTarget target) {
    return localPlace.distanceTo(target.target().place());
  }

  /**
   * A target with what it costs to send a call there.
   *
   * @param target the target
   * @param cost the cost, as a share of the worth of a call that is in time
   * @param expectedNanos how long the answer is expected to take
   * @param full whether the target has more calls waiting than it can soon run
   */
  public record Selection(TrackedTarget target, double cost, long expectedNanos, boolean full) {}
}
