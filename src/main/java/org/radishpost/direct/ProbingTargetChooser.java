package org.radishpost.direct;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.radishpost.lib.ServiceName;
import org.radishpost.placement.TargetSelector;
import org.radishpost.placement.TrackedTarget;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Chooses the target of each call by load probes sent immediately before, without a broker.
 * Confined to one thread.
 */
final class ProbingTargetChooser implements TargetChooser {
  private static final int MIN_HOLD_MILLIS = 20;
  private static final int HOLD_JITTER_MILLIS = 30;

  /** Late calls probe less often, so that free slots are found by calls that can be in time. */
  private static final int LATE_CALL_PAUSE_FACTOR = 8;

  private final CallCandidates candidates;
  private final TargetSelector selector;
  private final LoadProber prober;
  private final Scheduler clock;
  private final RandomGenerator random;

  /**
   * Creates a chooser.
   *
   * @param candidates finds the targets that a call may be sent to
   * @param selector selects the target of a call
   * @param prober probes targets for their load
   * @param clock provides time and timers
   * @param random the source of jitter for holds
   */
  ProbingTargetChooser(
      CallCandidates candidates,
      TargetSelector selector,
      LoadProber prober,
      Scheduler clock,
      RandomGenerator random) {
    this.candidates = candidates;
    this.selector = selector;
    this.prober = prober;
    this.clock = clock;
    this.random = random;
  }

  @Override
  public void recordCall(ServiceName service) {
    prober.recordCall(service);
  }

  @Override
  public Mono<TargetChoice> choose(CallAttempts attempts) {
    return probe(selector.targetsToProbe(candidates.of(attempts), now()))
        .then(Mono.defer(() -> select(attempts)));
  }

  private Mono<Void> probe(List<TrackedTarget> targets) {
    return prober.probe(
        targets,
        target -> selector.idleAndNearest(target, targets, now()),
        selector.probeWait(targets));
  }

  private Mono<TargetChoice> select(CallAttempts attempts) {
    Optional<TargetSelector.Selection> selection =
        selector.select(candidates.of(attempts), attempts.placementRequest(), now());
    if (selection.isEmpty()) {
      return Mono.just(new TargetChoice.None("no target in service"));
    }
    if (selector.shouldProbeRemote(selection.get()) && attempts.tryStartRemoteProbe()) {
      return probe(selector.remoteTargetsToProbe(candidates.of(attempts), now()))
          .then(Mono.defer(() -> select(attempts)));
    }
    if (selection.get().full() || selection.get().uncertain()) {
      return hold(attempts, selection.get());
    }
    return Mono.just(chosen(selection.get()));
  }

  /**
   * Holds a call while targets are full or may be full. Refuses it when its hold time is over or
   * the response would miss the deadline. If no target reports its load, chooses one after a short
   * time.
   */
  private Mono<TargetChoice> hold(CallAttempts attempts, TargetSelector.Selection selection) {
    long remainingNanos = attempts.call().info().deadlineNanos() - now();
    if (selection.serviceSilent() && now() - attempts.uncertainHoldUntilNanos() >= 0) {
      return Mono.just(chosen(selection));
    }
    boolean holdTimeOver = now() - attempts.holdUntilNanos() >= 0;
    if (holdTimeOver || selection.expectedNanos() > remainingNanos) {
      return Mono.just(new TargetChoice.None("all targets are full"));
    }
    return Mono.delay(pause(attempts), clock).then(Mono.defer(() -> choose(attempts)));
  }

  private Duration pause(CallAttempts attempts) {
    Duration pause = Duration.ofMillis(MIN_HOLD_MILLIS + random.nextInt(HOLD_JITTER_MILLIS));
    boolean late = selector.expectedLate(attempts.placementRequest(), now());
    return late ? pause.multipliedBy(LATE_CALL_PAUSE_FACTOR) : pause;
  }

  @Override
  public Mono<TargetChoice> chooseForHedge(CallAttempts attempts) {
    return Mono.justOrEmpty(
            selector.select(candidates.of(attempts), attempts.placementRequest(), now()))
        .filter(found -> selector.expectedInTime(found, attempts.placementRequest(), now()))
        .map(ProbingTargetChooser::chosen)
        .defaultIfEmpty(new TargetChoice.None("no second target is expected in time"));
  }

  private static TargetChoice chosen(TargetSelector.Selection selection) {
    return new TargetChoice.Chosen(selection.target(), ReservedSlot.NONE);
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
