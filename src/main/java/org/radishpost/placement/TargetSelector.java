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
 * Selects the target of a call, and the targets to probe for their load beforehand.
 *
 * <p>Load changes within milliseconds: a target that shares its machine can become four times
 * slower for a few hundred milliseconds, and only the target itself can detect this. The nearest
 * targets are therefore probed immediately before a call is sent. The target with the lowest cost
 * is selected; the main parts of the cost are the probability of a late response and the traffic. A
 * target without a load sample counts as loaded as the others are on average, among which those
 * that do not answer count as overloaded. Confined to one thread.
 */
public final class TargetSelector {
  /** Maximum age of a load sample that makes a new probe unnecessary. */
  public static final long MAX_FRESH_SAMPLE_AGE_NANOS = 12_000_000L;

  private static final int MAX_PROBED_TARGETS = 3;
  private static final int MAX_PROBED_REMOTE_TARGETS = 2;
  private static final Duration REGIONAL_PROBE_WAIT = Duration.ofMillis(20);
  private static final Duration REMOTE_PROBE_WAIT = Duration.ofMillis(45);
  private static final long MAX_SAMPLE_AGE_NANOS = 400_000_000L;

  /** Maximum age of a sample that shows a free slot; later, other VMs may have taken the slot. */
  private static final long MAX_FREE_SLOT_AGE_NANOS = 50_000_000L;

  /** Time without any sample after which the targets of a service do not report their load. */
  private static final long SILENT_SERVICE_NANOS = 2_000_000_000L;

  private static final double LATE_PROBABILITY_LOGISTIC_SCALE = 0.30;
  private static final double LATE_RESPONSE_COST = 0.9;
  private static final double MISSED_DEADLINE_COST = 3;
  private static final double COST_PER_EXPECTED_SECOND = 0.05;
  private static final double COLD_TARGET_COST = 2;
  private static final double SUSPENDED_TARGET_COST = 4;
  private static final double NO_SAMPLE_COST = 0.4;
  private static final double MAX_TIE_BREAK_COST = 0.1;
  private static final double UNANSWERED_PROBE_COST = 1;

  /** A free target answers a probe within a round trip and this time. */
  private static final double PROBE_SERVICE_NANOS = 15_000_000;

  private static final double SILENT_CALLS_PER_SLOT = 2;
  private static final double DEFAULT_CALLS_PER_SLOT = 0.4;
  private static final double REMOTE_PROBE_MIN_COST = 0.5;

  /**
   * Number of running and queued calls per slot at which a target counts as full. Calls without a
   * free slot are held at the entry, which can still send them to the first target that has one.
   */
  private static final double FULL_CALLS_PER_SLOT = 1;

  /**
   * The same for a call that would be late even at an idle target: it leaves the last slots to
   * calls that can still be in time.
   */
  private static final double FULL_CALLS_PER_SLOT_WHEN_LATE = 0.5;

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
   * Creates a selector for the calls of one VM.
   *
   * @param localPlace the place of this VM
   * @param serviceTimes the mean service times of the routes
   * @param coldTargetLimiter decides whether a cold target may be used
   * @param random breaks ties between equivalent targets
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

  /** Returns those of the nearest available targets that have no fresh load sample. */
  public List<TrackedTarget> targetsToProbe(List<TrackedTarget> candidates, long nowNanos) {
    List<TrackedTarget> nearest = nearestAvailable(candidates, nowNanos);
    nearest.removeIf(target -> target.sample(MAX_FRESH_SAMPLE_AGE_NANOS, nowNanos).isPresent());
    return nearest;
  }

  /** Returns random targets of other regions to probe when no target of this region is suitable. */
  public List<TrackedTarget> remoteTargetsToProbe(List<TrackedTarget> candidates, long nowNanos) {
    List<TrackedTarget> remote = new ArrayList<>(candidates);
    remote.removeIf(
        target ->
            distance(target) != Distance.OTHER_REGION
                || target.suspended(nowNanos)
                || target.cold(nowNanos)
                || target.sample(MAX_FRESH_SAMPLE_AGE_NANOS, nowNanos).isPresent());
    Collections.shuffle(remote, random);
    return remote.subList(0, Math.min(MAX_PROBED_REMOTE_TARGETS, remote.size()));
  }

  /** Returns how long to wait for the responses of the probed targets. */
  public Duration probeWait(List<TrackedTarget> probed) {
    boolean anyRemote =
        probed.stream().anyMatch(target -> distance(target) == Distance.OTHER_REGION);
    return anyRemote ? REMOTE_PROBE_WAIT : REGIONAL_PROBE_WAIT;
  }

  /** Returns whether the cost is high enough to probe other regions before using the selection. */
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

  /**
   * Returns whether the target is idle, not slowed down and as near as any of the probed targets.
   * None of them can be much better, so there is no need to wait for further probes.
   */
  public boolean idleAndNearest(TrackedTarget target, List<TrackedTarget> probed, long nowNanos) {
    Distance distance = distance(target);
    boolean nearerProbed = probed.stream().anyMatch(other -> nearer(distance(other), distance));
    if (nearerProbed || target.suspended(nowNanos)) {
      return false;
    }
    return target
        .sample(MAX_FRESH_SAMPLE_AGE_NANOS, nowNanos)
        .filter(sample -> sample.slowdownPercent() <= LoadSample.NO_SLOWDOWN_PERCENT)
        .filter(sample -> sample.running() + sample.waiting() + target.sentSinceSample() == 0)
        .isPresent();
  }

  /** Returns the target with the lowest cost, or empty if no target is usable. */
  public Optional<Selection> select(
      List<TrackedTarget> candidates, PlacementRequest request, long nowNanos) {
    ServiceLoad load = serviceLoad(candidates, nowNanos);
    Selection best = null;
    for (TrackedTarget target : candidates) {
      if (!target.usable(nowNanos) || !coldTargetLimiter.admits(target, nowNanos)) {
        continue;
      }
      Selection selection = evaluate(target, request, load, nowNanos);
      if (best == null || selection.cost() < best.cost()) {
        best = selection;
      }
    }
    return Optional.ofNullable(best);
  }

  private ServiceLoad serviceLoad(List<TrackedTarget> targets, long nowNanos) {
    int sampled = 0;
    int silent = 0;
    double callsPerSlot = 0;
    for (TrackedTarget target : targets) {
      if (target.sample(MAX_SAMPLE_AGE_NANOS, nowNanos).isPresent()) {
        sampled++;
        callsPerSlot += callsPerSlot(target, 0, nowNanos);
      } else if (probeUnanswered(target, nowNanos)) {
        silent++;
      }
    }
    boolean noneReported =
        targets.stream()
            .allMatch(target -> target.sample(SILENT_SERVICE_NANOS, nowNanos).isEmpty());
    return ServiceLoad.of(sampled, callsPerSlot, silent, noneReported);
  }

  /** Returns the running and queued calls per slot, or the default if there is no recent sample. */
  private static double callsPerSlot(
      TrackedTarget target, double defaultCallsPerSlot, long nowNanos) {
    return target
        .sample(MAX_SAMPLE_AGE_NANOS, nowNanos)
        .map(
            sample ->
                (double) (sample.running() + sample.waiting() + target.sentSinceSample())
                    / Math.max(1, sample.slots()))
        .orElse(defaultCallsPerSlot);
  }

  /**
   * Returns how long to wait for a response before the call is also sent to a second target.
   *
   * <p>The delay leaves the second target just enough time to respond in time, but is never shorter
   * than {@value #MIN_HEDGE_DELAY_SERVICE_TIMES} mean service times.
   */
  public long hedgeDelayNanos(PlacementRequest request, long nowNanos) {
    double serviceNanos = serviceTimes.serviceNanos(request.route());
    double latestDelayNanos =
        request.respondByNanos() - nowNanos - HEDGE_RESERVED_SERVICE_TIMES * serviceNanos;
    return (long) Math.max(MIN_HEDGE_DELAY_SERVICE_TIMES * serviceNanos, latestDelayNanos);
  }

  /** Returns whether the response of the selected target is expected in time. */
  public boolean expectedInTime(Selection selection, PlacementRequest request, long nowNanos) {
    return !selection.target().suspended(nowNanos)
        && selection.expectedNanos() <= request.respondByNanos() - nowNanos;
  }

  /** Returns whether the response would be late even if a target without slowdown ran the call. */
  public boolean expectedLate(PlacementRequest request, long nowNanos) {
    double serviceNanos = serviceTimes.serviceNanos(request.route());
    return nowNanos + serviceNanos - request.respondByNanos() > 0;
  }

  private Selection evaluate(
      TrackedTarget target, PlacementRequest request, ServiceLoad load, long nowNanos) {
    double callsPerSlot = callsPerSlot(target, load.estimatedCallsPerSlot(), nowNanos);
    double expectedNanos = expectedNanos(target, request, callsPerSlot, nowNanos);
    double remainingNanos = Math.max(1, request.respondByNanos() - nowNanos);
    double lateProbability =
        1
            / (1
                + Math.exp(
                    -Math.log(expectedNanos / remainingNanos) / LATE_PROBABILITY_LOGISTIC_SCALE));
    double cost =
        LATE_RESPONSE_COST * lateProbability + COST_PER_EXPECTED_SECOND * expectedNanos / 1e9;
    cost += DistanceCosts.trafficCost(distance(target), request.trafficKilobytes());
    if (expectedNanos > request.deadlineNanos() - nowNanos) {
      cost += MISSED_DEADLINE_COST;
    }
    if (target.cold(nowNanos)) {
      cost += COLD_TARGET_COST;
    }
    if (target.suspended(nowNanos)) {
      cost += SUSPENDED_TARGET_COST;
    }
    boolean silent = probeUnanswered(target, nowNanos);
    if (silent) {
      cost += UNANSWERED_PROBE_COST;
    }
    boolean noSample = target.sample(MAX_SAMPLE_AGE_NANOS, nowNanos).isEmpty();
    if (noSample) {
      cost += NO_SAMPLE_COST + MAX_TIE_BREAK_COST * random.nextDouble();
    }
    boolean late = expectedLate(request, nowNanos);
    double fullCallsPerSlot = late ? FULL_CALLS_PER_SLOT_WHEN_LATE : FULL_CALLS_PER_SLOT;
    boolean full = callsPerSlot(target, load.sampledCallsPerSlot(), nowNanos) >= fullCallsPerSlot;
    boolean outdated =
        !load.noneReported() && target.sample(MAX_FREE_SLOT_AGE_NANOS, nowNanos).isEmpty();
    boolean uncertain = silent || outdated || callsPerSlot >= fullCallsPerSlot;
    return new Selection(target, cost, (long) expectedNanos, full, uncertain, load.noneReported());
  }

  /** Returns whether a probe has been pending for so long that the target must be busy. */
  private boolean probeUnanswered(TrackedTarget target, long nowNanos) {
    double roundTripNanos = DistanceCosts.roundTripNanos(distance(target));
    return target.probePendingFor(roundTripNanos + PROBE_SERVICE_NANOS, nowNanos);
  }

  /** Returns the expected duration of the call, including the network round trip. */
  private double expectedNanos(
      TrackedTarget target, PlacementRequest request, double callsPerSlot, long nowNanos) {
    double serviceNanos = serviceTimes.serviceNanos(request.route());
    Optional<LoadSample> sample = target.sample(MAX_SAMPLE_AGE_NANOS, nowNanos);
    int slots = Math.max(1, sample.map(LoadSample::slots).orElse(target.target().slots()));
    int knownCalls = sample.isPresent() ? 0 : Math.max(1, target.inFlight());
    int callsAhead = Math.max(knownCalls, (int) Math.round(callsPerSlot * slots));
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

  private static boolean nearer(Distance first, Distance second) {
    return first.compareTo(second) < 0;
  }

  private Distance distance(TrackedTarget target) {
    return localPlace.distanceTo(target.target().place());
  }

  /**
   * A selected target and the estimates for a call sent to it.
   *
   * @param target the target
   * @param cost the estimated cost; 1 is the value of a response in time
   * @param expectedNanos the expected time until the response
   * @param full whether the target already has as many calls as it should hold
   * @param uncertain whether the target may be full: it does not answer its probe, or its sample is
   *     too old
   * @param serviceSilent whether no target of the service has reported its load for some time, so
   *     that it cannot be known which of them are full
   */
  public record Selection(
      TrackedTarget target,
      double cost,
      long expectedNanos,
      boolean full,
      boolean uncertain,
      boolean serviceSilent) {}

  /**
   * The mean load of the targets of a service.
   *
   * @param sampledCallsPerSlot the mean of the targets with a recent sample
   * @param estimatedCallsPerSlot the mean with an assumed load of the targets that do not answer
   * @param noneReported whether no target has reported its load for some time
   */
  private record ServiceLoad(
      double sampledCallsPerSlot, double estimatedCallsPerSlot, boolean noneReported) {
    private static ServiceLoad of(
        int sampled, double sampledCallsPerSlot, int silent, boolean noneReported) {
      double sampledMean = sampled == 0 ? DEFAULT_CALLS_PER_SLOT : sampledCallsPerSlot / sampled;
      double estimatedMean =
          sampled + silent == 0
              ? DEFAULT_CALLS_PER_SLOT
              : (sampledCallsPerSlot + silent * SILENT_CALLS_PER_SLOT) / (sampled + silent);
      return new ServiceLoad(sampledMean, estimatedMean, noneReported);
    }
  }
}
