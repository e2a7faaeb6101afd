package org.radishpost.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.radishpost.lib.CallFacts;
import org.radishpost.lib.CallId;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.PoolId;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;

/**
 * A baseline: one of many balancers that each send at once on their own view of the targets.
 *
 * <p>It has no queue, knows no cold starts and ejects nothing; it keeps to the connections of a
 * target and to draining. One thread at a time.
 */
final class DirectPool implements Pool {
  private static final int SERVICE_ANSWERS = 256;

  private final PoolId id;
  private final TargetPolicy policy;
  private final RandomGenerator random;
  private final LongSupplier configVersion;
  private final List<DirectTarget> targets = new ArrayList<>();
  private final Map<CallId, DirectTarget> sent = new HashMap<>();
  private final MovingMean service = new MovingMean(SERVICE_ANSWERS);
  private int next;
  private boolean released;

  DirectPool(PoolId id, TargetPolicy policy, RandomGenerator random, LongSupplier configVersion) {
    this.id = id;
    this.policy = policy;
    this.random = random;
    this.configVersion = configVersion;
  }

  @Override
  public void configure(
      ServiceSpec spec, List<TargetSpec> wanted, long nowNanos, Consumer<PoolAction> out) {
    List<DirectTarget> before = List.copyOf(targets);
    targets.clear();
    for (TargetSpec target : wanted) {
      targets.add(
          before.stream()
              .filter(old -> old.spec.equals(target))
              .findFirst()
              .orElseGet(() -> new DirectTarget(target)));
    }
    for (DirectTarget old : before) {
      if (targets.stream().noneMatch(t -> t.address().equals(old.address()))) {
        out.accept(new PoolAction.CloseIdle(old.address()));
      }
    }
  }

  @Override
  public void offer(CallFacts call, long nowNanos, Consumer<PoolAction> out) {
    if (released) {
      out.accept(new PoolAction.HandBack(call.id(), HandBackReason.NOT_OWNER));
      return;
    }
    if (call.deadlineNanos() - nowNanos <= 0) {
      out.accept(new PoolAction.HandBack(call.id(), HandBackReason.TOO_LATE));
      return;
    }
    List<DirectTarget> open = targets.stream().filter(DirectTarget::open).toList();
    if (open.isEmpty()) {
      out.accept(new PoolAction.HandBack(call.id(), HandBackReason.NO_TARGET));
      return;
    }
    DirectTarget target = choose(open);
    target.running++;
    sent.put(call.id(), target);
    out.accept(new PoolAction.Send(call, target.address()));
  }

  @Override
  public void ended(CallId call, TargetOutcome outcome, long nowNanos, Consumer<PoolAction> out) {
    DirectTarget target = sent.remove(call);
    if (target == null) {
      return;
    }
    target.running--;
    switch (outcome) {
      case TargetOutcome.Answered answered -> {
        service.add(answered.serviceNanos());
        answered.report().ifPresent(target::reported);
      }
      case TargetOutcome.Shed shed -> shed.report().ifPresent(target::reported);
      case TargetOutcome.NotConnected n -> {}
      case TargetOutcome.ConnectionDied d -> {}
      case TargetOutcome.TimedOut t -> {}
      case TargetOutcome.Cancelled c -> {}
    }
  }

  @Override
  public void withdraw(CallId call, long nowNanos, Consumer<PoolAction> out) {}

  @Override
  public void probed(
      Endpoint address, Optional<LoadReport> report, long nowNanos, Consumer<PoolAction> out) {
    for (DirectTarget target : targets) {
      if (target.address().equals(address)) {
        report.ifPresent(target::reported);
      }
    }
  }

  @Override
  public void closedByTarget(Endpoint target, long nowNanos, Consumer<PoolAction> out) {}

  @Override
  public void tick(long nowNanos, Consumer<PoolAction> out) {}

  @Override
  public void release(long nowNanos, Consumer<PoolAction> out) {
    released = true;
    targets.forEach(target -> out.accept(new PoolAction.CloseIdle(target.address())));
  }

  @Override
  public PoolView view(long nowNanos) {
    int slots = targets.stream().mapToInt(target -> target.spec.slots()).sum();
    return new PoolView(id, slots, sent.size(), 0, 0, service.value(), configVersion.getAsLong());
  }

  @Override
  public List<TargetStatus> targets(long nowNanos) {
    return targets.stream().map(DirectTarget::status).toList();
  }

  private DirectTarget choose(List<DirectTarget> open) {
    return switch (policy) {
      case TargetPolicy.RoundRobin r -> open.get(Math.floorMod(next++, open.size()));
      case TargetPolicy.TwoChoices t -> lesser(any(open), any(open));
      case TargetPolicy.LeastLoaded l -> open.stream().reduce(any(open), this::lesser);
      case TargetPolicy.Owner o ->
          throw new IllegalStateException("the owner's policy needs an OwnerPool");
    };
  }

  private DirectTarget any(List<DirectTarget> open) {
    return open.get(random.nextInt(open.size()));
  }

  private DirectTarget lesser(DirectTarget a, DirectTarget b) {
    return b.load() < a.load() ? b : a;
  }

  private static final class DirectTarget {
    private final TargetSpec spec;
    private int running;
    private int reported;
    private boolean draining;

    DirectTarget(TargetSpec spec) {
      this.spec = spec;
    }

    Endpoint address() {
      return spec.address();
    }

    boolean open() {
      return !draining && running < spec.connections();
    }

    int load() {
      return reported + running;
    }

    void reported(LoadReport report) {
      reported = report.running();
      draining = report.draining();
    }

    TargetStatus status() {
      TargetState state = draining ? TargetState.DRAINING : TargetState.WARM;
      return new TargetStatus(address(), state, running, draining ? 0 : spec.slots());
    }
  }
}
