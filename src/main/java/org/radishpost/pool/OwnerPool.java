package org.radishpost.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.radishpost.admission.AdmissionQueue;
import org.radishpost.lib.CallFacts;
import org.radishpost.lib.CallId;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.PoolId;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;
import org.radishpost.suspects.SuspectRegistry;

/**
 * The pool of an owner: one queue for all targets, and each call goes to the next free slot.
 *
 * <p>Create one when this VM becomes the owner, {@link #configure} it, and {@link #release} it when
 * another VM does. The adapter calls {@link #tick} every few milliseconds. One thread at a time.
 */
public final class OwnerPool implements Pool {
  private static final int SERVER_ERROR = 500;
  private static final int POOL_ANSWERS = 256;
  private static final int SILENT_RATIO = 4;
  private static final int MAX_DOUBLINGS = 5;
  private static final int PERCENT = 100;
  private static final long MIN_PAUSE_NANOS = 1_000_000L;
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final PoolId id;
  private final PoolLimits limits;
  private final SuspectRegistry suspects;
  private final LongSupplier configVersion;
  private final int owners;
  private final AdmissionQueue queue = new AdmissionQueue();
  private final TargetSet targets;
  private final Map<Endpoint, ProbeClock> probes = new HashMap<>();
  private final Map<CallId, SentCall> sent = new HashMap<>();
  private final CrashWatch crashes;
  private final ServiceTimes times = new ServiceTimes();
  private final MovingMean errorPercent = new MovingMean(POOL_ANSWERS);
  private long probeIntervalNanos;
  private int ejectQuota;
  private boolean released;

  /**
   * Creates the pool without targets.
   *
   * @param id its identity
   * @param limits its bounds
   * @param random for choosing among equal targets
   * @param suspects the requests known to crash targets
   * @param configVersion tells the version of the configuration in force
   */
  public OwnerPool(
      PoolId id,
      PoolLimits limits,
      RandomGenerator random,
      SuspectRegistry suspects,
      LongSupplier configVersion) {
    this(id, limits, random, suspects, configVersion, ColdLimits.OWNERS);
  }

  OwnerPool(
      PoolId id,
      PoolLimits limits,
      RandomGenerator random,
      SuspectRegistry suspects,
      LongSupplier configVersion,
      int owners) {
    this.id = id;
    this.limits = limits;
    this.targets = new TargetSet(random);
    this.suspects = suspects;
    this.configVersion = configVersion;
    this.owners = owners;
    this.crashes = new CrashWatch(suspects);
  }

  @Override
  public void configure(
      ServiceSpec spec, List<TargetSpec> wanted, long nowNanos, Consumer<PoolAction> out) {
    probeIntervalNanos = spec.probe().interval().toNanos();
    ejectQuota = EjectionQuota.of(id, spec, wanted);
    ColdLimits cold = ColdLimits.of(spec.coldStart(), owners);
    List<Endpoint> kept = new ArrayList<>();
    for (TargetSpec target : wanted) {
      kept.add(target.address());
      TargetTracker tracker = targets.get(target.address());
      if (tracker != null) {
        TargetState before = tracker.state();
        tracker.configure(target, cold, nowNanos);
        noteChange(tracker, before, out);
        continue;
      }
      targets.add(new TargetTracker(target, cold, nowNanos));
      probes.computeIfAbsent(target.address(), t -> new ProbeClock(owners, nowNanos));
      out.accept(new PoolAction.OpenAhead(target.address(), 1));
    }
    for (TargetTracker tracker : targets.all()) {
      if (tracker.wanted() && !kept.contains(tracker.address())) {
        TargetState before = tracker.state();
        tracker.unwanted();
        noteChange(tracker, before, out);
      }
    }
    removeDrained();
    dispatch(nowNanos, out);
  }

  @Override
  public void offer(CallFacts call, long nowNanos, Consumer<PoolAction> out) {
    Optional<HandBackReason> refusal = refusal(call, nowNanos);
    if (refusal.isPresent()) {
      handBack(call, refusal.get(), out);
      return;
    }
    int bound = limits.boundFor(targets.slots(nowNanos));
    queue.add(call, bound, loser -> handBack(loser, HandBackReason.QUEUE_FULL, out));
    dispatch(nowNanos, out);
  }

  @Override
  public void ended(CallId call, TargetOutcome outcome, long nowNanos, Consumer<PoolAction> out) {
    SentCall ended = sent.remove(call);
    if (ended == null) {
      return;
    }
    TargetTracker tracker = ended.target();
    final TargetState before = tracker.state();
    tracker.ended(ended, nowNanos);
    if (!(outcome instanceof TargetOutcome.ConnectionDied)) {
      crashes.survived(ended, nowNanos);
    }
    switch (outcome) {
      case TargetOutcome.Answered answered -> {
        answered(ended, answered, nowNanos);
        tracker.reported(answered.report(), nowNanos);
      }
      case TargetOutcome.Shed shed -> {
        tracker.shed(times.meanNanos(), nowNanos);
        tracker.reported(shed.report(), nowNanos);
      }
      case TargetOutcome.NotConnected n -> {
        tracker.ejection().refused();
        failed(tracker, nowNanos);
        tracker.lost();
      }
      case TargetOutcome.ConnectionDied died -> {
        crashes.died(ended, sent.values(), nowNanos);
        tracker.ejection().error();
        failed(tracker, nowNanos);
        tracker.lost();
      }
      case TargetOutcome.TimedOut t -> unanswered(ended, true, nowNanos);
      case TargetOutcome.Cancelled c -> unanswered(ended, false, nowNanos);
    }
    ejectIfDue(tracker, nowNanos);
    noteChange(tracker, before, out);
    removeDrained();
    dispatch(nowNanos, out);
  }

  @Override
  public void withdraw(CallId call, long nowNanos, Consumer<PoolAction> out) {
    queue.remove(call);
  }

  @Override
  public void probed(
      Endpoint target, Optional<LoadReport> report, long nowNanos, Consumer<PoolAction> out) {
    TargetTracker tracker = targets.get(target);
    if (tracker == null) {
      return;
    }
    TargetState before = tracker.state();
    if (report.isPresent()) {
      tracker.reported(report, nowNanos);
    }
    noteChange(tracker, before, out);
    dispatch(nowNanos, out);
  }

  @Override
  public void closedByTarget(Endpoint target, long nowNanos, Consumer<PoolAction> out) {
    TargetTracker tracker = targets.get(target);
    if (tracker == null) {
      return;
    }
    TargetState before = tracker.state();
    tracker.lost();
    noteChange(tracker, before, out);
  }

  @Override
  public void tick(long nowNanos, Consumer<PoolAction> out) {
    crashes.tick(nowNanos);
    for (TargetTracker tracker : targets.all()) {
      TargetState before = tracker.state();
      tracker.tick(nowNanos);
      noteChange(tracker, before, out);
      probeIfDue(tracker, nowNanos, out);
    }
    queue.expire(nowNanos, times.meanNanos(), late -> handBack(late, HandBackReason.TOO_LATE, out));
    dispatch(nowNanos, out);
  }

  @Override
  public void release(long nowNanos, Consumer<PoolAction> out) {
    released = true;
    handBackAll(HandBackReason.NOT_OWNER, out);
    for (TargetTracker tracker : targets.all()) {
      out.accept(new PoolAction.CloseIdle(tracker.address()));
    }
  }

  @Override
  public PoolView view(long nowNanos) {
    long wait =
        targets.anyFree(nowNanos, times.meanNanos()) ? 0 : waitNanos(queue.size(), nowNanos);
    return new PoolView(
        id,
        targets.slots(nowNanos),
        sent.size(),
        queue.size(),
        wait,
        times.meanNanos(),
        configVersion.getAsLong());
  }

  @Override
  public List<TargetStatus> targets(long nowNanos) {
    return targets.all().stream()
        .map(t -> new TargetStatus(t.address(), t.state(), t.running(), t.limit(nowNanos)))
        .toList();
  }

  private Optional<HandBackReason> refusal(CallFacts call, long nowNanos) {
    if (released) {
      return Optional.of(HandBackReason.NOT_OWNER);
    }
    if (condemned(call, nowNanos)) {
      return Optional.of(HandBackReason.SUSPECT);
    }
    if (targets.slots(nowNanos) == 0) {
      return Optional.of(HandBackReason.NO_TARGET);
    }
    long left = call.deadlineNanos() - nowNanos;
    boolean free = queue.isEmpty() && targets.anyFree(nowNanos, times.meanNanos());
    long wait = free ? 0 : waitNanos(queue.ahead(call.tenant()), nowNanos);
    if (left <= 0 || wait + times.meanNanos() > left) {
      return Optional.of(HandBackReason.TOO_LATE);
    }
    return Optional.empty();
  }

  private boolean condemned(CallFacts call, long nowNanos) {
    Optional<Digest> fingerprint = call.fingerprint();
    return fingerprint.isPresent() && suspects.condemned(fingerprint.get(), nowNanos);
  }

  private void answered(SentCall ended, TargetOutcome.Answered answer, long nowNanos) {
    TargetTracker tracker = ended.target();
    if (answer.status() >= SERVER_ERROR) {
      tracker.ejection().error();
      failed(tracker, nowNanos);
      return;
    }
    errorPercent.add(0);
    tracker.ejection().good(nowNanos);
    long serviceNanos = Math.max(1, answer.serviceNanos() - ended.waitedNanos());
    long typicalNanos = times.typicalNanos();
    tracker.answered(times.add(ended.call(), serviceNanos), typicalNanos, nowNanos);
    ended.call().fingerprint().ifPresent(suspects::answered);
  }

  /** A call whose own time was short says nothing against the target. */
  private void unanswered(SentCall ended, boolean timedOut, long nowNanos) {
    long elapsedNanos = nowNanos - ended.sentNanos() - ended.waitedNanos();
    long scaledNanos = times.scaled(ended.call(), Math.max(1, elapsedNanos));
    if (timedOut && scaledNanos > SILENT_RATIO * times.typicalNanos()) {
      ended.target().ejection().error();
      failed(ended.target(), nowNanos);
      return;
    }
    ended.target().cancelled(scaledNanos);
  }

  private void failed(TargetTracker tracker, long nowNanos) {
    errorPercent.add(PERCENT);
    boolean alone = errorPercent.value() < PERCENT / 2;
    int doublings = alone ? Math.min(tracker.ejection().errorsInRow() - 1, MAX_DOUBLINGS) : 0;
    long pause = Math.max(times.meanNanos(), MIN_PAUSE_NANOS);
    tracker.block(pause << Math.max(0, doublings), nowNanos);
  }

  private void ejectIfDue(TargetTracker tracker, long nowNanos) {
    boolean takesWork =
        tracker.state() != TargetState.EJECTED && tracker.state() != TargetState.DRAINING;
    if (!tracker.ejection().due() || !takesWork) {
      return;
    }
    if (targets.ejected() < ejectQuota && targets.usable(nowNanos) > 1) {
      tracker.ejection().begin(nowNanos);
      tracker.eject();
    }
  }

  private void dispatch(long nowNanos, Consumer<PoolAction> out) {
    while (!queue.isEmpty()) {
      Optional<TargetTracker> target = targets.chooseFree(nowNanos, times.meanNanos());
      if (target.isEmpty() && queue.size() >= limits.aheadFromCalls()) {
        target = targets.chooseAhead(nowNanos, times.typicalNanos());
      }
      if (target.isEmpty()) {
        break;
      }
      send(queue.poll().orElseThrow(), target.get(), nowNanos, out);
    }
    if (!queue.isEmpty() && targets.slots(nowNanos) == 0) {
      handBackAll(HandBackReason.NO_TARGET, out);
    }
  }

  private void send(CallFacts call, TargetTracker target, long nowNanos, Consumer<PoolAction> out) {
    if (call.deadlineNanos() - nowNanos <= times.meanNanos()) {
      handBack(call, HandBackReason.TOO_LATE, out);
      return;
    }
    if (condemned(call, nowNanos)) {
      handBack(call, HandBackReason.SUSPECT, out);
      return;
    }
    SentCall sending = new SentCall(call, target, nowNanos);
    target.sent(sending, nowNanos);
    sent.put(call.id(), sending);
    out.accept(new PoolAction.Send(call, target.address()));
  }

  private long waitNanos(int ahead, long nowNanos) {
    double perSecond = targets.callsPerSecond(nowNanos, times.meanNanos());
    return perSecond == 0 ? 0 : (long) ((ahead + 1) * SECOND_NANOS / perSecond);
  }

  private void handBackAll(HandBackReason reason, Consumer<PoolAction> out) {
    queue.drain(call -> handBack(call, reason, out));
  }

  private void handBack(CallFacts call, HandBackReason reason, Consumer<PoolAction> out) {
    out.accept(new PoolAction.HandBack(call.id(), reason));
  }

  private void probeIfDue(TargetTracker tracker, long nowNanos, Consumer<PoolAction> out) {
    ProbeClock clock = probes.get(tracker.address());
    boolean due = clock.due(nowNanos, tracker.lastToldNanos(), probeIntervalNanos);
    if (released || !tracker.wanted() || !due) {
      return;
    }
    clock.probed(nowNanos);
    out.accept(new PoolAction.Probe(tracker.address()));
  }

  private void removeDrained() {
    targets.removeDrained();
    if (probes.size() > 2 * targets.size() + limits.queueCalls()) {
      probes.keySet().removeIf(address -> targets.get(address) == null);
    }
  }

  private void noteChange(TargetTracker tracker, TargetState before, Consumer<PoolAction> out) {
    TargetState now = tracker.state();
    if (now == before) {
      return;
    }
    out.accept(new PoolAction.StateChanged(tracker.address(), before, now));
    Endpoint address = tracker.address();
    out.accept(
        switch (now) {
          case WARM -> new PoolAction.OpenAhead(address, tracker.connectionsAhead());
          case EJECTED, DRAINING -> new PoolAction.CloseIdle(address);
          case COLD, RAMPING -> new PoolAction.OpenAhead(address, 1);
        });
  }
}
