package org.radishpost.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.radishpost.lib.CallFacts;
import org.radishpost.lib.CallId;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.VmId;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.suspects.SuspectRegistry;

/** Owners of one pool and their targets in virtual time; collects what breaks a promise. */
final class PoolWorld {
  static final long TICK_NANOS = 5 * PoolFixture.MILLI;

  final SplittableRandom random;
  final List<OwnerPool> owners = new ArrayList<>();
  final Map<Endpoint, FakeTarget> targets = new HashMap<>();
  final List<String> faults = new ArrayList<>();
  final Map<HandBackReason, Integer> handBacks = new HashMap<>();
  final SuspectRegistry suspects = new SuspectRegistry(new VmId("vm"), (regions, f, points) -> {});
  final int ejectQuota;
  long now;
  int answered;
  private final ServiceSpec service;
  private final int ownersAssumed;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final Map<CallId, Boolean> open = new HashMap<>();
  private long nextCall;
  private long nextOrder;

  PoolWorld(long seed, ServiceSpec service, int ownerCount, int ownersAssumed) {
    this.random = new SplittableRandom(seed);
    this.service = service;
    this.ownersAssumed = ownersAssumed;
    this.ejectQuota = service.targets().size() * service.ejectPercent() / 100;
    service
        .targets()
        .forEach(t -> targets.put(t.address(), new FakeTarget(t.address(), t.slots())));
    for (int i = 0; i < ownerCount; i++) {
      owners.add(null);
      replaceOwner(i);
    }
    at(TICK_NANOS, this::tick);
  }

  FakeTarget target(int number) {
    return targets.get(PoolFixture.address(number));
  }

  /** Lets an owner die, with all that it holds, and a new one start. */
  void replaceOwner(int owner) {
    targets.values().forEach(t -> t.running.removeIf(call -> call.owner() == owner));
    open.clear();
    OwnerPool pool =
        new OwnerPool(
            PoolFixture.POOL, PoolLimits.DEFAULT, random.split(), suspects, () -> 1, ownersAssumed);
    owners.set(owner, pool);
    pool.configure(service, service.targets(), now, action -> act(owner, pool, action));
  }

  void restartTarget(FakeTarget target) {
    List<FakeTarget.SentTo> dead = List.copyOf(target.running);
    target.restart(now);
    for (FakeTarget.SentTo call : dead) {
      end(call, new TargetOutcome.ConnectionDied(dead.size() == 1));
    }
    for (int i = 0; i < owners.size(); i++) {
      int owner = i;
      OwnerPool pool = owners.get(i);
      pool.closedByTarget(target.address, now, action -> act(owner, pool, action));
    }
  }

  void offer(int owner, CallFacts call) {
    if (open.put(call.id(), true) != null) {
      throw new IllegalStateException("call numbers must differ");
    }
    OwnerPool pool = owners.get(owner);
    pool.offer(call, now, action -> act(owner, pool, action));
  }

  void offer(int owner) {
    String tenant = "tenant-" + random.nextInt(3);
    long deadline = now + (1 + random.nextInt(300)) * PoolFixture.MILLI;
    offer(owner, PoolFixture.call(nextCall++, tenant, 1 + random.nextInt(10), deadline));
  }

  /** Offers calls at a steady rate to every owner in turn for so long. */
  void load(long forNanos, long gapNanos) {
    long end = now + forNanos;
    for (long t = now + gapNanos; t < end; t += gapNanos) {
      run(t);
      offer(random.nextInt(owners.size()));
    }
    run(end);
  }

  void run(long untilNanos) {
    while (!events.isEmpty() && events.peek().timeNanos <= untilNanos) {
      Event event = events.remove();
      now = event.timeNanos;
      event.work.run();
    }
    now = untilNanos;
  }

  /** Returns the calls that were neither answered nor handed back. */
  int openCalls() {
    return open.size();
  }

  TargetState state(int owner, int number) {
    return owners.get(owner).targets(now).stream()
        .filter(t -> t.target().equals(PoolFixture.address(number)))
        .findFirst()
        .orElseThrow()
        .state();
  }

  private void act(int owner, OwnerPool pool, PoolAction action) {
    switch (action) {
      case PoolAction.Send send -> {
        FakeTarget target = targets.get(send.target());
        FakeTarget.SentTo call = new FakeTarget.SentTo(owner, send);
        target.take(call, now).ifPresent(faults::add);
        long sentNanos = now;
        at(
            target.takesNanos(now),
            () -> {
              if (target.running.remove(call)) {
                end(call, target.outcome(now, now - sentNanos));
              }
            });
      }
      case PoolAction.HandBack back -> {
        close(back.call());
        handBacks.merge(back.reason(), 1, Integer::sum);
      }
      case PoolAction.Probe probe -> {
        FakeTarget target = targets.get(probe.target());
        target.probes.add(now);
        Optional<LoadReport> report = Optional.of(target.report(now));
        at(
            PoolFixture.MILLI,
            () -> pool.probed(target.address, report, now, a -> act(owner, pool, a)));
      }
      case PoolAction.StateChanged changed -> {
        long ejected =
            pool.targets(now).stream().filter(t -> t.state() == TargetState.EJECTED).count();
        if (ejected > ejectQuota) {
          faults.add(ejected + " targets are ejected, the quota is " + ejectQuota);
        }
      }
      case PoolAction.OpenAhead ahead -> {}
      case PoolAction.CloseIdle close -> {}
    }
  }

  private void end(FakeTarget.SentTo call, TargetOutcome outcome) {
    OwnerPool pool = owners.get(call.owner());
    close(call.send().call().id());
    answered += outcome instanceof TargetOutcome.Answered ? 1 : 0;
    CallId id = call.send().call().id();
    pool.ended(id, outcome, now, action -> act(call.owner(), pool, action));
  }

  private void close(CallId call) {
    if (open.remove(call) == null) {
      faults.add("call " + call.value() + " ended twice");
    }
  }

  private void tick() {
    for (int i = 0; i < owners.size(); i++) {
      int owner = i;
      OwnerPool pool = owners.get(i);
      pool.tick(now, action -> act(owner, pool, action));
      PoolView view = pool.view(now);
      if (view.queued() > Math.max(8, 4 * view.slots() + 100)) {
        faults.add("the queue holds " + view.queued());
      }
    }
    at(TICK_NANOS, this::tick);
  }

  private void at(long delayNanos, Runnable work) {
    events.add(new Event(now + delayNanos, nextOrder++, work));
  }

  private record Event(long timeNanos, long order, Runnable work) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(timeNanos, other.timeNanos);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }
}
