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
public final class Placement {
  /** How old a sample may be to be used instead of a new question. */
  public static final long FRESH_NANOS = 12_000_000L;

  private static final int MAX_ASKED = 6;
  private static final int MAX_ASKED_FAR = 4;
  private static final Duration NEAR_WAIT = Duration.ofMillis(20);
  private static final Duration FAR_WAIT = Duration.ofMillis(45);
  private static final long USEFUL_NANOS = 400_000_000L;
  private static final double LATE_SPREAD = 0.30;
  private static final double LATE_LOSS = 0.9;
  private static final double MISSED_LOSS = 3;
  private static final double COST_PER_SECOND = 0.05;
  private static final double COLD_COST = 2;
  private static final double SUSPENDED_COST = 4;
  private static final double SILENT_COST = 0.4;
  private static final double TIE_COST = 0.1;
  private static final double POOR_COST = 0.5;

  /**
   * Calls at a target, as multiples of its slots, from which on it is full: about one may wait
   * there. In a burst the others wait at the entry, where they can still go to the first target
   * that has room.
   */
  private static final double FULL_ROUNDS = 4 / 3.0;

  private static final double BUSY_SHARE = 0.8;
  private static final double BUSY_FACTOR = 1.4;
  private static final double HEDGE_RESERVE = 1.25;
  private static final double HEDGE_PATIENCE = 1.3;
  private static final double UNKNOWN_PACE_PERCENT = 175;

  private final Place self;
  private final WorkTimes times;
  private final ColdGate coldGate;
  private final RandomGenerator random;

  /**
   * Creates it.
   *
   * @param self where this VM runs
   * @param times how long calls take
   * @param coldGate which cold targets may be used
   * @param random picks among targets that are alike
   */
  public Placement(Place self, WorkTimes times, ColdGate coldGate, RandomGenerator random) {
    this.self = self;
    this.times = times;
    this.coldGate = coldGate;
    this.random = random;
  }

  /** Returns the targets to ask now: the nearest that may serve and have said nothing lately. */
  public List<TrackedTarget> toAsk(List<TrackedTarget> candidates, long nowNanos) {
    List<TrackedTarget> near = near(candidates, nowNanos);
    near.removeIf(target -> target.sample(FRESH_NANOS, nowNanos).isPresent());
    return near;
  }

  /** Returns some targets of other regions to ask when none near by is good enough. */
  public List<TrackedTarget> toAskFar(List<TrackedTarget> candidates, long nowNanos) {
    List<TrackedTarget> far = new ArrayList<>(candidates);
    far.removeIf(
        target ->
            distance(target) != Distance.OTHER_REGION
                || target.suspended(nowNanos)
                || target.cold(nowNanos)
                || target.sample(FRESH_NANOS, nowNanos).isPresent());
    Collections.shuffle(far, random);
    return far.subList(0, Math.min(MAX_ASKED_FAR, far.size()));
  }

  /** Returns how long to wait for the answers of the targets that are asked. */
  public Duration askWait(List<TrackedTarget> asked) {
    boolean far = asked.stream().anyMatch(target -> distance(target) == Distance.OTHER_REGION);
    return far ? FAR_WAIT : NEAR_WAIT;
  }

  /** Tells whether it is worth to ask in other regions before a choice is followed. */
  public boolean poor(Choice choice) {
    return choice.cost() > POOR_COST && distance(choice.target()) != Distance.OTHER_REGION;
  }

  private List<TrackedTarget> near(List<TrackedTarget> candidates, long nowNanos) {
    List<TrackedTarget> sorted = new ArrayList<>(candidates);
    sorted.removeIf(target -> target.suspended(nowNanos) || target.cold(nowNanos));
    Collections.shuffle(sorted, random);
    sorted.sort(Comparator.comparing(this::distance));
    boolean regional = !sorted.isEmpty() && distance(sorted.getFirst()) != Distance.OTHER_REGION;
    if (regional) {
      sorted.removeIf(target -> distance(target) == Distance.OTHER_REGION);
    }
    return new ArrayList<>(sorted.subList(0, Math.min(MAX_ASKED, sorted.size())));
  }

  /** Tells whether no other answer could better this target much: near, free and quick. */
  public boolean ideal(TrackedTarget target, long nowNanos) {
    if (distance(target) != Distance.SAME_ZONE || target.suspended(nowNanos)) {
      return false;
    }
    return target
        .sample(FRESH_NANOS, nowNanos)
        .filter(sample -> sample.pacePercent() <= LoadSample.USUAL_PACE_PERCENT)
        .filter(sample -> sample.running() + sample.waiting() + target.sentSinceSample() == 0)
        .isPresent();
  }

  /** Returns the target with the least cost, if there is any. */
  public Optional<Choice> choose(List<TrackedTarget> candidates, PlacedCall call, long nowNanos) {
    Choice best = null;
    for (TrackedTarget target : candidates) {
      if (!target.usable(nowNanos) || !coldGate.admits(target, nowNanos)) {
        continue;
      }
      Choice choice = rate(target, call, nowNanos);
      if (best == null || choice.cost() < best.cost()) {
        best = choice;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Returns how long to wait for an answer before the call is also sent to a second target: until
   * the second one can just be in time, but not before a usual answer would be there.
   */
  public long hedgeDelayNanos(PlacedCall call, long nowNanos) {
    double work = times.nanos(call.route());
    double lastMoment = call.targetLatencyNanos() - nowNanos - HEDGE_RESERVE * work;
    return (long) Math.max(HEDGE_PATIENCE * work, lastMoment);
  }

  /** Tells whether the answer of a choice is expected in time. */
  public boolean inTime(Choice choice, PlacedCall call, long nowNanos) {
    return !choice.target().suspended(nowNanos)
        && choice.expectedNanos() <= call.targetLatencyNanos() - nowNanos;
  }

  private Choice rate(TrackedTarget target, PlacedCall call, long nowNanos) {
    double expected = expectedNanos(target, call, nowNanos);
    double inTime = Math.max(1, call.targetLatencyNanos() - nowNanos);
    double lateChance = 1 / (1 + Math.exp(-Math.log(expected / inTime) / LATE_SPREAD));
    double cost = LATE_LOSS * lateChance + COST_PER_SECOND * expected / 1e9;
    cost += DistanceCosts.traffic(distance(target), call.kilobytes());
    if (expected > call.deadlineNanos() - nowNanos) {
      cost += MISSED_LOSS;
    }
    if (target.cold(nowNanos)) {
      cost += COLD_COST;
    }
    if (target.suspended(nowNanos)) {
      cost += SUSPENDED_COST;
    }
    boolean silent = target.sample(USEFUL_NANOS, nowNanos).isEmpty();
    if (silent) {
      cost += SILENT_COST + TIE_COST * random.nextDouble();
    }
    return new Choice(target, cost, (long) expected, full(target, nowNanos));
  }

  /** Tells whether the target has said that more calls wait there than it can soon run. */
  private static boolean full(TrackedTarget target, long nowNanos) {
    return target
        .sample(USEFUL_NANOS, nowNanos)
        .filter(
            known ->
                known.running() + known.waiting() + target.sentSinceSample()
                    >= FULL_ROUNDS * known.slots())
        .isPresent();
  }

  /** Returns how long the call would take at the target, the way there and back included. */
  private double expectedNanos(TrackedTarget target, PlacedCall call, long nowNanos) {
    double work = times.nanos(call.route());
    Optional<LoadSample> sample = target.sample(USEFUL_NANOS, nowNanos);
    int slots = Math.max(1, sample.map(LoadSample::slots).orElse(target.target().slots()));
    int before =
        sample
            .map(known -> known.running() + known.waiting() + target.sentSinceSample())
            .orElse(Math.max(1, target.inFlight()));
    double pace = sample.map(known -> (double) known.pacePercent()).orElse(UNKNOWN_PACE_PERCENT);
    double rounds = 1 + (double) Math.max(0, before + 1 - slots) / slots;
    double busy = before + 1 > BUSY_SHARE * slots ? BUSY_FACTOR : 1;
    return work * pace / LoadSample.USUAL_PACE_PERCENT * rounds * busy
        + DistanceCosts.tripNanos(distance(target));
  }

  private Distance distance(TrackedTarget target) {
    return self.distanceTo(target.target().place());
  }

  /**
   * A target with what it costs to send a call there.
   *
   * @param target the target
   * @param cost the cost, as a share of the worth of a call that is in time
   * @param expectedNanos how long the answer is expected to take
   * @param full whether the target has more calls waiting than it can soon run
   */
  public record Choice(TrackedTarget target, double cost, long expectedNanos, boolean full) {}
}
