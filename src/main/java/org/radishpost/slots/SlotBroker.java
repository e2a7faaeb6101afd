package org.radishpost.slots;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.radishpost.config.Configuration;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.RouteServiceTimes;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.TargetId;
import org.radishpost.placement.TrackedTarget;

/**
 * Offers the slots of targets to the calls of all VMs, with one queue per service and region.
 *
 * <p>Many VMs that each see few calls cannot share few slots by load probes: held calls of several
 * VMs are sent to the same free slot and queue at its target. The broker offers each free slot to
 * one call. Its knowledge is advice: calls of VMs without a broker are known only from the load
 * that targets report. Cold and suspended targets are left to the VMs. Confined to one thread.
 */
public final class SlotBroker {
  /** How often waiting calls are checked while there are any. */
  private static final long WAKE_UP_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  /** Number of waiting calls per slot above which calls should try another region first. */
  private static final double MAX_WAITING_PER_SLOT_WITH_ALTERNATIVE = 0.4;

  /** Share of the targets below which those that have failed recently are offered too. */
  private static final double MIN_SOUND_SHARE = 0.5;

  /** Maximum age of a load report that makes a probe unnecessary. */
  private static final long MAX_LOAD_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(15);

  /** The same while a service is busy, when probes would take slots from calls. */
  private static final long MAX_LOAD_AGE_WHEN_BUSY_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private final TargetDirectory directory;
  private final Supplier<Configuration> configuration;
  private final RouteServiceTimes serviceTimes;
  private final SlotAssigner assigner;
  private final LongSupplier nowNanos;
  private final WakeUpTimer timer;
  private final Map<RegionalService, ServiceSlots> services = new HashMap<>();
  private final Map<RequestKey, Lease> leases = new HashMap<>();

  /**
   * Creates a broker without requests.
   *
   * @param directory the registered targets
   * @param configuration supplies the current configuration
   * @param serviceTimes the mean service times of the routes; updated from returned slots
   * @param nowNanos the monotonic clock
   * @param timer wakes the broker while calls are waiting
   * @param random selects among equivalent targets
   */
  public SlotBroker(
      TargetDirectory directory,
      Supplier<Configuration> configuration,
      RouteServiceTimes serviceTimes,
      LongSupplier nowNanos,
      WakeUpTimer timer,
      RandomGenerator random) {
    this.directory = directory;
    this.configuration = configuration;
    this.serviceTimes = serviceTimes;
    this.assigner = new SlotAssigner(random);
    this.nowNanos = nowNanos;
    this.timer = timer;
  }

  /** Handles a message of a VM; a message that only a broker sends is ignored. */
  public void received(SlotLink link, SlotMessage message) {
    switch (message) {
      case SlotMessage.Request request -> request(link, request);
      case SlotMessage.Release release -> release(link, release);
      case SlotMessage.Cancel cancel -> cancel(link, cancel);
      case SlotMessage.Open open -> {}
      case SlotMessage.Queued unexpected -> {}
      case SlotMessage.Offer unexpected -> {}
      case SlotMessage.Refusal unexpected -> {}
    }
  }

  /** Handles the end of a connection: its requests are withdrawn and its leases end. */
  public void closed(SlotLink link) {
    for (ServiceSlots service : services.values()) {
      service.waiting().removeIf(call -> call.link().equals(link));
    }
    endLeases(
        List.copyOf(leases.keySet()).stream().filter(key -> key.link().equals(link)).toList());
  }

  /** Ends expired leases and forgets targets that are gone; called periodically. */
  public void tick() {
    long now = nowNanos.getAsLong();
    endLeases(
        leases.entrySet().stream()
            .filter(entry -> entry.getValue().expired(now))
            .map(Map.Entry::getKey)
            .toList());
    for (ServiceSlots service : services.values()) {
      service.retainTargets(directory.serving(service.key().service(), Set.of()));
    }
  }

  private void request(SlotLink link, SlotMessage.Request request) {
    long now = nowNanos.getAsLong();
    RegionalService key = new RegionalService(request.service(), request.region());
    ServiceSlots service = services.computeIfAbsent(key, ServiceSlots::new);
    if (usable(key, request.excluded(), now).isEmpty()) {
      link.send(new SlotMessage.Refusal(request.id(), SlotRefusalReason.NO_TARGET));
      return;
    }
    WaitingCall call = WaitingCall.of(link, request, now);
    if (isKnown(service, call.key())) {
      return;
    }
    if (request.maxWait().isZero() && !service.waiting().isEmpty()) {
      refuse(call);
      return;
    }
    service.waiting().add(call);
    assignWaiting(service);
    if (service.waiting().contains(call)) {
      waitOrRefuse(service, call, now);
    }
  }

  /** Returns whether a request waits or has a lease; another lease under its key would hide it. */
  private boolean isKnown(ServiceSlots service, RequestKey key) {
    return leases.containsKey(key)
        || service.waiting().stream().anyMatch(call -> call.key().equals(key));
  }

  private void waitOrRefuse(ServiceSlots service, WaitingCall call, long now) {
    boolean longWait =
        call.request().hasAlternative()
            && service.waiting().size()
                > MAX_WAITING_PER_SLOT_WITH_ALTERNATIVE
                    * service.slotCount(usable(service.key(), Set.of(), now));
    if (longWait || now - call.waitUntilNanos() >= 0) {
      service.waiting().remove(call);
      refuse(call);
      return;
    }
    call.link().send(new SlotMessage.Queued(call.request().id()));
    scheduleWakeUp(service);
  }

  private static void refuse(WaitingCall call) {
    call.link().send(new SlotMessage.Refusal(call.request().id(), SlotRefusalReason.FULL));
  }

  private void release(SlotLink link, SlotMessage.Release release) {
    RequestKey key = new RequestKey(link, release.id());
    Optional<Lease> lease = Optional.ofNullable(leases.get(key));
    if (lease.isEmpty() || !lease.get().remove(release.target())) {
      return;
    }
    if (lease.get().ended()) {
      leases.remove(key);
    }
    long now = nowNanos.getAsLong();
    lease.get().service().recordReturn(release.target(), release.load(), now);
    directory.find(release.target()).ifPresent(target -> recordOutcome(target, release, now));
    if (release.outcome() == SlotOutcome.SUCCEEDED) {
      recordServiceTime(lease.get().route(), release);
    }
    assignWaiting(lease.get().service());
  }

  private void recordServiceTime(String route, SlotMessage.Release release) {
    int slowdownPercent =
        release.load().map(LoadSample::slowdownPercent).orElse(LoadSample.NO_SLOWDOWN_PERCENT);
    serviceTimes.record(route, release.serviceTime().toNanos(), slowdownPercent);
  }

  private static void recordOutcome(TrackedTarget target, SlotMessage.Release release, long now) {
    release.load().ifPresent(load -> target.recordSample(load, now));
    if (release.outcome() == SlotOutcome.SUCCEEDED) {
      target.recordSuccess();
    } else if (release.outcome() == SlotOutcome.FAILED && !target.suspended(now)) {
      target.recordFailure(now);
    } else if (release.outcome() == SlotOutcome.UNREACHABLE) {
      target.recordUnreachable(now);
    }
  }

  private void cancel(SlotLink link, SlotMessage.Cancel cancel) {
    RequestKey key = new RequestKey(link, cancel.id());
    for (ServiceSlots service : services.values()) {
      service.waiting().removeIf(call -> call.key().equals(key));
    }
    endLeases(List.of(key));
  }

  private void endLeases(List<RequestKey> keys) {
    long now = nowNanos.getAsLong();
    for (RequestKey key : keys) {
      Optional.ofNullable(leases.remove(key)).ifPresent(lease -> endLease(lease, now));
    }
  }

  private void endLease(Lease lease, long now) {
    for (TargetId target : lease.targets()) {
      lease.service().recordReturn(target, Optional.empty(), now);
    }
    assignWaiting(lease.service());
  }

  /** Offers free slots to waiting calls until no further call can use one. */
  private void assignWaiting(ServiceSlots service) {
    if (service.waiting().isEmpty()) {
      return;
    }
    long now = nowNanos.getAsLong();
    List<TrackedTarget> usable = usable(service.key(), Set.of(), now);
    List<WaitingCall> ordered = new ArrayList<>(service.waiting());
    ordered.sort(SlotAssigner.order(serviceTimes::serviceNanos, now));
    for (WaitingCall call : ordered) {
      boolean busy = service.busy(usable, now);
      long maxLoadAgeNanos = busy ? MAX_LOAD_AGE_WHEN_BUSY_NANOS : MAX_LOAD_AGE_NANOS;
      List<FreeTarget> free = service.free(usable, maxLoadAgeNanos, now);
      if (free.isEmpty()) {
        return;
      }
      free.removeIf(target -> call.request().excluded().contains(target.id()));
      double serviceNanos = serviceTimes.serviceNanos(call.request().route());
      List<FreeTarget> offered = assigner.targetsFor(free, call, serviceNanos, busy, now);
      if (!offered.isEmpty()) {
        offer(service, call, offered);
      }
    }
  }

  private void offer(ServiceSlots service, WaitingCall call, List<FreeTarget> offered) {
    service.waiting().remove(call);
    offered.forEach(target -> service.recordOffer(target.id()));
    leases.put(call.key(), new Lease(service, call, offered));
    List<SlotMessage.OfferedTarget> targets =
        offered.stream()
            .map(target -> new SlotMessage.OfferedTarget(target.id(), target.load()))
            .toList();
    call.link().send(new SlotMessage.Offer(call.request().id(), targets));
  }

  /**
   * Returns the warm targets to which calls may be sent. Those that have failed recently are left
   * out, unless they are so many that the others could not take their calls.
   */
  private List<TrackedTarget> usable(RegionalService key, Set<TargetId> excluded, long now) {
    Configuration current = configuration.get();
    List<TrackedTarget> reachable = directory.serving(key.service(), excluded);
    reachable.removeIf(
        tracked ->
            !tracked.target().place().region().equals(key.region())
                || !current.inService(tracked.target().place())
                || !tracked.usable(now)
                || tracked.unreachable(now)
                || tracked.cold(now));
    List<TrackedTarget> sound =
        reachable.stream().filter(tracked -> !tracked.suspended(now)).toList();
    return sound.size() >= MIN_SOUND_SHARE * reachable.size() ? sound : reachable;
  }

  private void scheduleWakeUp(ServiceSlots service) {
    if (service.wakeUpScheduled()) {
      return;
    }
    service.setWakeUpScheduled(true);
    timer.schedule(WAKE_UP_INTERVAL_NANOS, () -> wakeUp(service));
  }

  private void wakeUp(ServiceSlots service) {
    service.setWakeUpScheduled(false);
    assignWaiting(service);
    refuseExpired(service);
    if (!service.waiting().isEmpty()) {
      scheduleWakeUp(service);
    }
  }

  private void refuseExpired(ServiceSlots service) {
    long now = nowNanos.getAsLong();
    for (Iterator<WaitingCall> calls = service.waiting().iterator(); calls.hasNext(); ) {
      WaitingCall call = calls.next();
      if (now - call.waitUntilNanos() >= 0) {
        calls.remove();
        refuse(call);
      }
    }
  }
}
