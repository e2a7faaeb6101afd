package org.radishpost.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.PoolId;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;

/**
 * A pool without an owner, the baseline in comparisons: each VM sends every call immediately to a
 * target that it chooses by its own view of the targets.
 *
 * <p>It has no queue, no cold-start limits and no ejection. It respects the connection limit of a
 * target and sends no calls to a draining target. Not thread-safe.
 */
final class DirectPool implements Pool {
  private static final int SERVICE_TIME_WINDOW_SAMPLES = 256;

  private final PoolId id;
  private final BalancingPolicy policy;
  private final RandomGenerator random;
  private final LongSupplier configVersion;
  private final List<DirectTarget> targets = new ArrayList<>();
  private final Map<CallId, DirectTarget> inFlight = new HashMap<>();
  private final MovingMean serviceTime = new MovingMean(SERVICE_TIME_WINDOW_SAMPLES);
  private int nextIndex;
  private boolean released;

  DirectPool(
      PoolId id, BalancingPolicy policy, RandomGenerator random, LongSupplier configVersion) {
    this.id = id;
    this.policy = policy;
    this.random = random;
    this.configVersion = configVersion;
  }

  @Override
  public void configure(
      ServiceSpec spec,
      List<TargetSpec> configuredTargets,
      long nowNanos,
      Consumer<PoolAction> actions) {
    List<DirectTarget> previous = List.copyOf(targets);
    targets.clear();
    for (TargetSpec target : configuredTargets) {
      targets.add(
          previous.stream()
              .filter(old -> old.spec.equals(target))
              .findFirst()
              .orElseGet(() -> new DirectTarget(target)));
    }
    for (DirectTarget old : previous) {
      if (targets.stream().noneMatch(t -> t.address().equals(old.address()))) {
        actions.accept(new PoolAction.CloseIdleConnections(old.address()));
      }
    }
  }

  @Override
  public void offer(CallInfo call, long nowNanos, Consumer<PoolAction> actions) {
    if (released) {
      actions.accept(new PoolAction.HandBack(call.id(), HandBackReason.NOT_OWNER));
      return;
    }
    if (call.deadlineNanos() - nowNanos <= 0) {
      actions.accept(new PoolAction.HandBack(call.id(), HandBackReason.TOO_LATE));
      return;
    }
    List<DirectTarget> available = targets.stream().filter(DirectTarget::isAvailable).toList();
    if (available.isEmpty()) {
      actions.accept(new PoolAction.HandBack(call.id(), HandBackReason.NO_TARGET));
      return;
    }
    DirectTarget target = choose(available);
    target.running++;
    inFlight.put(call.id(), target);
    actions.accept(new PoolAction.Send(call, target.address()));
  }

  @Override
  public void callEnded(
      CallId call, TargetOutcome outcome, long nowNanos, Consumer<PoolAction> actions) {
    DirectTarget target = inFlight.remove(call);
    if (target == null) {
      return;
    }
    target.running--;
    switch (outcome) {
      case TargetOutcome.Responded responded -> {
        serviceTime.add(responded.serviceNanos());
        responded.report().ifPresent(target::recordReport);
      }
      case TargetOutcome.Shed shed -> shed.report().ifPresent(target::recordReport);
      case TargetOutcome.NotConnected notConnected -> {}
      case TargetOutcome.ConnectionLost lost -> {}
      case TargetOutcome.TimedOut timedOut -> {}
      case TargetOutcome.Cancelled cancelled -> {}
    }
  }

  @Override
  public void removeQueued(CallId call, long nowNanos, Consumer<PoolAction> actions) {}

  @Override
  public void probeCompleted(
      Endpoint address, Optional<LoadReport> report, long nowNanos, Consumer<PoolAction> actions) {
    for (DirectTarget target : targets) {
      if (target.address().equals(address)) {
        report.ifPresent(target::recordReport);
      }
    }
  }

  @Override
  public void idleConnectionsClosed(Endpoint target, long nowNanos, Consumer<PoolAction> actions) {}

  @Override
  public void tick(long nowNanos, Consumer<PoolAction> actions) {}

  @Override
  public void release(long nowNanos, Consumer<PoolAction> actions) {
    released = true;
    targets.forEach(
        target -> actions.accept(new PoolAction.CloseIdleConnections(target.address())));
  }

  @Override
  public PoolView view(long nowNanos) {
    int slots = targets.stream().mapToInt(target -> target.spec.slots()).sum();
    return new PoolView(
        id, slots, inFlight.size(), 0, 0, serviceTime.value(), configVersion.getAsLong());
  }

  @Override
  public List<TargetStatus> targetStatuses(long nowNanos) {
    return targets.stream().map(DirectTarget::status).toList();
  }

  private DirectTarget choose(List<DirectTarget> available) {
    return switch (policy) {
      case BalancingPolicy.RoundRobin roundRobin ->
          available.get(Math.floorMod(nextIndex++, available.size()));
      case BalancingPolicy.TwoChoices twoChoices ->
          lessLoaded(chooseRandom(available), chooseRandom(available));
      case BalancingPolicy.LeastLoaded leastLoaded ->
          available.stream().reduce(chooseRandom(available), this::lessLoaded);
      case BalancingPolicy.Owner owner ->
          throw new IllegalStateException("the owner policy requires an OwnerPool");
    };
  }

  private DirectTarget chooseRandom(List<DirectTarget> available) {
    return available.get(random.nextInt(available.size()));
  }

  private DirectTarget lessLoaded(DirectTarget a, DirectTarget b) {
    return b.load() < a.load() ? b : a;
  }

  private static final class DirectTarget {
    private final TargetSpec spec;
    private int running;
    private int reportedRunning;
    private boolean draining;

    DirectTarget(TargetSpec spec) {
      this.spec = spec;
    }

    Endpoint address() {
      return spec.address();
    }

    boolean isAvailable() {
      return !draining && running < spec.connections();
    }

    int load() {
      return reportedRunning + running;
    }

    void recordReport(LoadReport report) {
      reportedRunning = report.running();
      draining = report.draining();
    }

    TargetStatus status() {
      TargetState state = draining ? TargetState.DRAINING : TargetState.WARM;
      return new TargetStatus(address(), state, running, draining ? 0 : spec.slots());
    }
  }
}
