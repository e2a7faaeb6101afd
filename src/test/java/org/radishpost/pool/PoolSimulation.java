package org.radishpost.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.VmId;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.suspects.SuspectRegistry;

/**
 * Simulates the owners of one pool and their targets in virtual time and collects the violations of
 * the limits.
 */
final class PoolSimulation {
  static final long TICK_NANOS = 5 * PoolFixture.NANOS_PER_MILLI;

  final SplittableRandom random;
  final List<OwnerPool> owners = new ArrayList<>();
  final Map<Endpoint, FakeTarget> targets = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  final Map<HandBackReason, Integer> handBacks = new HashMap<>();
  final SuspectRegistry suspects =
      new SuspectRegistry(new VmId("vm"), (regions, fingerprint, points) -> {});
  final int maxEjectedTargets;
  long nowNanos;
  int responses;
  private final ServiceSpec service;
  private final int assumedOwners;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<CallId, Boolean> openCalls = new HashMap<>();
  private long nextCallId;
  private long nextEventSequence;

  /** Creates {@code ownerCount} owners that each divide the limits by {@code assumedOwners}. */
  PoolSimulation(long seed, ServiceSpec service, int ownerCount, int assumedOwners) {
    this.random = new SplittableRandom(seed);
    this.service = service;
    this.assumedOwners = assumedOwners;
    this.maxEjectedTargets = service.targets().size() * service.ejectPercent() / 100;
    service
        .targets()
        .forEach(t -> targets.put(t.address(), new FakeTarget(t.address(), t.slots())));
    for (int i = 0; i < ownerCount; i++) {
      owners.add(null);
      replaceOwner(i);
    }
    schedule(TICK_NANOS, this::tick);
  }

  FakeTarget target(int number) {
    return targets.get(PoolFixture.address(number));
  }

  /** Replaces an owner as if it had crashed: its calls are lost, and a new owner starts. */
  void replaceOwner(int owner) {
    targets.values().forEach(t -> t.running.removeIf(call -> call.owner() == owner));
    openCalls.clear();
    OwnerPool pool =
        new OwnerPool(
            PoolFixture.POOL, PoolLimits.DEFAULT, random.split(), suspects, () -> 1, assumedOwners);
    owners.set(owner, pool);
    pool.configure(service, service.targets(), nowNanos, action -> perform(owner, pool, action));
  }

  void restartTarget(FakeTarget target) {
    List<FakeTarget.ReceivedCall> lostCalls = List.copyOf(target.running);
    target.restart(nowNanos);
    for (FakeTarget.ReceivedCall call : lostCalls) {
      endCall(call, new TargetOutcome.ConnectionLost(lostCalls.size() == 1));
    }
    for (int i = 0; i < owners.size(); i++) {
      int owner = i;
      OwnerPool pool = owners.get(i);
      pool.idleConnectionsClosed(target.address, nowNanos, action -> perform(owner, pool, action));
    }
  }

  void offer(int owner, CallInfo call) {
    if (openCalls.put(call.id(), true) != null) {
      throw new IllegalStateException("call IDs must be unique");
    }
    OwnerPool pool = owners.get(owner);
    pool.offer(call, nowNanos, action -> perform(owner, pool, action));
  }

  void offer(int owner) {
    String tenant = "tenant-" + random.nextInt(3);
    long deadlineNanos = nowNanos + (1 + random.nextInt(300)) * PoolFixture.NANOS_PER_MILLI;
    offer(owner, PoolFixture.call(nextCallId++, tenant, 1 + random.nextInt(10), deadlineNanos));
  }

  /** Offers one call every {@code intervalNanos} to a random owner for {@code durationNanos}. */
  void offerLoad(long durationNanos, long intervalNanos) {
    long endNanos = nowNanos + durationNanos;
    for (long timeNanos = nowNanos + intervalNanos;
        timeNanos < endNanos;
        timeNanos += intervalNanos) {
      runUntil(timeNanos);
      offer(random.nextInt(owners.size()));
    }
    runUntil(endNanos);
  }

  void runUntil(long untilNanos) {
    while (!events.isEmpty() && events.peek().timeNanos <= untilNanos) {
      Event event = events.remove();
      nowNanos = event.timeNanos;
      event.work.run();
    }
    nowNanos = untilNanos;
  }

  /** Returns the number of calls that have neither ended nor been handed back. */
  int openCallCount() {
    return openCalls.size();
  }

  TargetState state(int owner, int number) {
    return owners.get(owner).targetStatuses(nowNanos).stream()
        .filter(t -> t.target().equals(PoolFixture.address(number)))
        .findFirst()
        .orElseThrow()
        .state();
  }

  private void perform(int owner, OwnerPool pool, PoolAction action) {
    switch (action) {
      case PoolAction.Send send -> {
        FakeTarget target = targets.get(send.target());
        FakeTarget.ReceivedCall call = new FakeTarget.ReceivedCall(owner, send);
        target.receive(call, nowNanos).ifPresent(violations::add);
        long sentNanos = nowNanos;
        schedule(
            target.serviceNanos(nowNanos),
            () -> {
              if (target.running.remove(call)) {
                endCall(call, target.outcome(nowNanos, nowNanos - sentNanos));
              }
            });
      }
      case PoolAction.HandBack handBack -> {
        closeCall(handBack.call());
        handBacks.merge(handBack.reason(), 1, Integer::sum);
      }
      case PoolAction.Probe probe -> {
        FakeTarget target = targets.get(probe.target());
        target.probeTimesNanos.add(nowNanos);
        Optional<LoadReport> report = Optional.of(target.report(nowNanos));
        schedule(
            PoolFixture.NANOS_PER_MILLI,
            () ->
                pool.probeCompleted(
                    target.address, report, nowNanos, a -> perform(owner, pool, a)));
      }
      case PoolAction.RecordStateChange stateChange -> {
        long ejected =
            pool.targetStatuses(nowNanos).stream()
                .filter(t -> t.state() == TargetState.EJECTED)
                .count();
        if (ejected > maxEjectedTargets) {
          violations.add(ejected + " targets are ejected, the quota is " + maxEjectedTargets);
        }
      }
      case PoolAction.OpenIdleConnections open -> {}
      case PoolAction.CloseIdleConnections close -> {}
    }
  }

  private void endCall(FakeTarget.ReceivedCall call, TargetOutcome outcome) {
    OwnerPool pool = owners.get(call.owner());
    closeCall(call.send().call().id());
    responses += outcome instanceof TargetOutcome.Responded ? 1 : 0;
    CallId id = call.send().call().id();
    pool.callEnded(id, outcome, nowNanos, action -> perform(call.owner(), pool, action));
  }

  private void closeCall(CallId call) {
    if (openCalls.remove(call) == null) {
      violations.add("call " + call.value() + " ended twice");
    }
  }

  private void tick() {
    for (int i = 0; i < owners.size(); i++) {
      int owner = i;
      OwnerPool pool = owners.get(i);
      pool.tick(nowNanos, action -> perform(owner, pool, action));
      PoolView view = pool.view(nowNanos);
      if (view.queued() > Math.max(8, 4 * view.slots() + 100)) {
        violations.add("queue bound exceeded, queued calls: " + view.queued());
      }
    }
    schedule(TICK_NANOS, this::tick);
  }

  private void schedule(long delayNanos, Runnable work) {
    events.add(new Event(nowNanos + delayNanos, nextEventSequence++, work));
  }

  private record Event(long timeNanos, long sequence, Runnable work) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(timeNanos, other.timeNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
