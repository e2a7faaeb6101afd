package org.radishpost.direct;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.PlacementRequest;
import org.radishpost.placement.TargetId;
import org.radishpost.placement.TargetSelector;
import org.radishpost.placement.TrackedTarget;
import org.radishpost.slots.SlotMessage;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Chooses the target of each call among those that a broker offers. Uses another chooser if no
 * broker offers any.
 *
 * <p>Probes the offered targets whose slowdown the broker does not know. Confined to one thread.
 */
final class SlotTargetChooser implements TargetChooser {
  /** Number of offers that a call declines because the offered target turns out to be slow. */
  private static final int MAX_DECLINED_OFFERS = 2;

  private static final TargetChoice NO_HEDGE =
      new TargetChoice.None("no second target is expected in time");

  private final Place localPlace;
  private final CallCandidates candidates;
  private final SlotClient brokers;
  private final TargetSelector selector;
  private final LoadProber prober;
  private final TargetChooser fallback;
  private final Scheduler clock;
  private final RandomGenerator random;

  /**
   * Creates a chooser.
   *
   * @param localPlace the place of this VM
   * @param candidates finds the targets that a call may be sent to
   * @param brokers requests slots
   * @param selector selects one of several offered targets
   * @param prober probes offered targets for their load
   * @param fallback chooses targets when no broker offers any
   * @param clock provides time
   * @param random selects among other regions
   */
  SlotTargetChooser(
      Place localPlace,
      CallCandidates candidates,
      SlotClient brokers,
      TargetSelector selector,
      LoadProber prober,
      TargetChooser fallback,
      Scheduler clock,
      RandomGenerator random) {
    this.localPlace = localPlace;
    this.candidates = candidates;
    this.brokers = brokers;
    this.selector = selector;
    this.prober = prober;
    this.fallback = fallback;
    this.clock = clock;
    this.random = random;
  }

  @Override
  public void recordCall(ServiceName service) {
    fallback.recordCall(service);
  }

  @Override
  public Mono<TargetChoice> choose(CallAttempts attempts) {
    return request(attempts, regionsToAsk(attempts), MAX_DECLINED_OFFERS)
        .switchIfEmpty(Mono.defer(() -> fallback.choose(attempts)));
  }

  @Override
  public Mono<TargetChoice> chooseForHedge(CallAttempts attempts) {
    List<RegionName> regions = regions(attempts);
    if (regions.isEmpty()) {
      return fallback.chooseForHedge(attempts);
    }
    if (selector.expectedLate(attempts.placementRequest(), now())) {
      return Mono.just(NO_HEDGE);
    }
    return brokers
        .request(demand(attempts, regions.getFirst(), Duration.ZERO, false))
        .ofType(SlotReply.Offered.class)
        .flatMap(offered -> useOffer(attempts, offered.slots(), OfferPolicy.IN_TIME_ONLY))
        .defaultIfEmpty(NO_HEDGE);
  }

  /** Returns the regions to ask: all in turn, then the first again, to wait there. */
  private List<RegionName> regionsToAsk(CallAttempts attempts) {
    List<RegionName> regions = regions(attempts);
    if (regions.size() > 1) {
      regions.add(regions.getFirst());
    }
    return regions;
  }

  /** Returns the regions with targets for the call, the region of this VM first. */
  private List<RegionName> regions(CallAttempts attempts) {
    List<RegionName> regions =
        new ArrayList<>(
            candidates.of(attempts).stream()
                .map(tracked -> tracked.target().place().region())
                .distinct()
                .filter(brokers::available)
                .toList());
    Collections.shuffle(regions, random);
    if (regions.remove(localPlace.region())) {
      regions.addFirst(localPlace.region());
    }
    return regions;
  }

  /** Asks the brokers of the regions in turn; empty if none of them can offer a target. */
  private Mono<TargetChoice> request(
      CallAttempts attempts, List<RegionName> regions, int declinesLeft) {
    if (regions.isEmpty()) {
      return Mono.empty();
    }
    return brokers
        .request(
            demand(attempts, regions.getFirst(), maxWait(attempts, regions), regions.size() > 1))
        .flatMap(reply -> handle(reply, attempts, regions, declinesLeft));
  }

  /** A call waits in the first region only; it goes elsewhere only if a slot is free there. */
  private Duration maxWait(CallAttempts attempts, List<RegionName> regions) {
    boolean otherRegion = regions.size() > 1 && !regions.getFirst().equals(regions.getLast());
    return otherRegion
        ? Duration.ZERO
        : Duration.ofNanos(Math.max(0, attempts.holdUntilNanos() - now()));
  }

  private Mono<TargetChoice> handle(
      SlotReply reply, CallAttempts attempts, List<RegionName> regions, int declinesLeft) {
    return switch (reply) {
      case SlotReply.Offered offered -> {
        OfferPolicy policy = declinesLeft > 0 ? OfferPolicy.DECLINE_SLOW : OfferPolicy.ACCEPT;
        yield useOffer(attempts, offered.slots(), policy)
            .switchIfEmpty(Mono.defer(() -> request(attempts, regions, declinesLeft - 1)));
      }
      case SlotReply.Full full -> {
        TargetChoice none = new TargetChoice.None("all targets are full");
        yield request(attempts, regions.subList(1, regions.size()), declinesLeft)
            .defaultIfEmpty(none);
      }
      case SlotReply.Unavailable unavailable ->
          request(attempts, regions.subList(1, regions.size()), declinesLeft);
    };
  }

  private SlotDemand demand(
      CallAttempts attempts, RegionName region, Duration maxWait, boolean hasAlternative) {
    PlacementRequest request = attempts.placementRequest();
    return new SlotDemand(
        region,
        attempts.service(),
        request.route(),
        attempts.tried(),
        Duration.ofNanos(request.respondByNanos() - now()),
        maxWait,
        hasAlternative,
        Duration.ofNanos(Math.max(0, request.deadlineNanos() - now())));
  }

  /** Chooses one of the offered targets; empty if the policy allows none of them. */
  private Mono<TargetChoice> useOffer(
      CallAttempts attempts, OfferedSlots slots, OfferPolicy policy) {
    List<TrackedTarget> usable = new ArrayList<>();
    List<TrackedTarget> unknownLoad = new ArrayList<>();
    List<TrackedTarget> allowed = candidates.of(attempts);
    for (SlotMessage.OfferedTarget offered : slots.targets()) {
      Optional<TrackedTarget> target = find(allowed, offered.target());
      if (target.isEmpty()) {
        slots.releaseUnused(offered.target(), Optional.empty());
        continue;
      }
      usable.add(target.get());
      offered.load().ifPresent(load -> target.get().recordSample(load, now()));
      if (offered.load().isEmpty()) {
        unknownLoad.add(target.get());
      }
    }
    return probe(attempts, unknownLoad)
        .then(Mono.defer(() -> select(attempts, slots, usable, policy)))
        .doOnCancel(slots::cancel);
  }

  /** Probes the targets, unless the response would be late even if a fast one is found. */
  private Mono<Void> probe(CallAttempts attempts, List<TrackedTarget> targets) {
    if (selector.expectedLate(attempts.placementRequest(), now())) {
      return Mono.empty();
    }
    return prober.probe(
        targets,
        target -> selector.idleAndNearest(target, targets, now()),
        selector.probeWait(targets));
  }

  private static Optional<TrackedTarget> find(List<TrackedTarget> targets, TargetId id) {
    return targets.stream().filter(tracked -> tracked.target().id().equals(id)).findFirst();
  }

  private Mono<TargetChoice> select(
      CallAttempts attempts, OfferedSlots slots, List<TrackedTarget> offered, OfferPolicy policy) {
    Optional<TargetSelector.Selection> selection =
        selector.select(offered, attempts.placementRequest(), now());
    if (selection.isEmpty()) {
      slots.cancel();
      return policy == OfferPolicy.IN_TIME_ONLY ? Mono.empty() : fallback.choose(attempts);
    }
    TrackedTarget best = selection.get().target();
    boolean declined = !allows(policy, attempts, selection.get());
    for (TrackedTarget target : offered) {
      if (declined || target != best) {
        slots.releaseUnused(target.target().id(), freshLoad(target));
      }
    }
    if (declined) {
      return Mono.empty();
    }
    return Mono.just(new TargetChoice.Chosen(best, slots.reserve(best.target().id())));
  }

  private boolean allows(
      OfferPolicy policy, CallAttempts attempts, TargetSelector.Selection selection) {
    PlacementRequest request = attempts.placementRequest();
    boolean loadKnown = freshLoad(selection.target()).isPresent();
    boolean inTime = selector.expectedInTime(selection, request, now());
    return switch (policy) {
      case ACCEPT -> true;
      case DECLINE_SLOW ->
          !loadKnown || !selection.full() && (inTime || selector.expectedLate(request, now()));
      case IN_TIME_ONLY -> loadKnown && !selection.full() && inTime;
    };
  }

  private Optional<LoadSample> freshLoad(TrackedTarget target) {
    return target.sample(TargetSelector.MAX_FRESH_SAMPLE_AGE_NANOS, now());
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }

  /** Which of the offered targets a call may use. */
  private enum OfferPolicy {
    /** Any target. */
    ACCEPT,
    /** No target that is full, nor one that makes the call late if others may not. */
    DECLINE_SLOW,
    /** Only a target whose response is expected in time. */
    IN_TIME_ONLY
  }
}
