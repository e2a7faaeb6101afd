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
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.PoolId;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;
import org.radishpost.suspects.SuspectRegistry;

/**
 * The pool of an owner VM: one queue for all targets, from which each call is sent to the next free
 * slot.
 *
 * <p>Create one when this VM becomes the owner, {@link #configure} it, and {@link #release} it when
 * another VM becomes the owner. The adapter calls {@link #tick} every few milliseconds. Not
 * thread-safe.
 */
public final class OwnerPool implements Pool {
  private static final int MIN_SERVER_ERROR_STATUS = 500;
  private static final int ERROR_WINDOW_SAMPLES = 256;
  private static final int TIMEOUT_ERROR_RATIO = 4;
  private static final int MAX_PAUSE_DOUBLINGS = 5;
  private static final int PERCENT = 100;
  private static final long MIN_PAUSE_NANOS = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  private final PoolId id;
  private final PoolLimits limits;
  private final SuspectRegistry suspects;
  private final LongSupplier configVersion;
  private final int concurrentOwners;
  private final AdmissionQueue queue = new AdmissionQueue();
  private final TargetSet targets;
  private final Map<Endpoint, ProbeSchedule> probeSchedules = new HashMap<>();
  private final Map<CallId, InFlightCall> inFlight = new HashMap<>();
  private final CrashCorrelator crashCorrelator;
  private final ServiceTimes serviceTimes = new ServiceTimes();
  private final MovingMean errorPercent = new MovingMean(ERROR_WINDOW_SAMPLES);
  private long probeIntervalNanos;
  private int maxEjectedTargets;
  private boolean released;

  /**
   * Creates a pool without targets.
   *
   * @param id the ID of the pool
   * @param limits the bounds of the pool
   * @param random the source of randomness for the choice between equally good targets
   * @param suspects the requests that may crash targets
   * @param configVersion supplies the version of the current configuration
   */
  public OwnerPool(
      PoolId id,
      PoolLimits limits,
      RandomGenerator random,
      SuspectRegistry suspects,
      LongSupplier configVersion) {
    this(id, limits, random, suspects, configVersion, ColdStartLimits.MAX_CONCURRENT_OWNERS);
  }

  OwnerPool(
      PoolId id,
      PoolLimits limits,
      RandomGenerator random,
      SuspectRegistry suspects,
      LongSupplier configVersion,
      int concurrentOwners) {
    this.id = id;
    this.limits = limits;
    this.targets = new TargetSet(random);
    this.suspects = suspects;
    this.configVersion = configVersion;
    this.concurrentOwners = concurrentOwners;
    this.crashCorrelator = new CrashCorrelator(suspects);
  }

  @Override
  public void configure(
      ServiceSpec spec,
      List<TargetSpec> configuredTargets,
      long nowNanos,
      Consumer<PoolAction> actions) {
    probeIntervalNanos = spec.probe().interval().toNanos();
    maxEjectedTargets = EjectionQuota.maxEjectedTargets(id, spec, configuredTargets);
    ColdStartLimits coldStartLimits = ColdStartLimits.of(spec.coldStart(), concurrentOwners);
    List<Endpoint> configuredAddresses = new ArrayList<>();
    for (TargetSpec target : configuredTargets) {
      configuredAddresses.add(target.address());
      TargetTracker tracker = targets.get(target.address());
      if (tracker != null) {
        TargetState before = tracker.state();
        tracker.configure(target, coldStartLimits, nowNanos);
        emitStateChange(tracker, before, actions);
        continue;
      }
      targets.add(new TargetTracker(target, coldStartLimits, nowNanos));
      probeSchedules.computeIfAbsent(
          target.address(), t -> new ProbeSchedule(concurrentOwners, nowNanos));
      actions.accept(new PoolAction.OpenIdleConnections(target.address(), 1));
    }
    for (TargetTracker tracker : targets.all()) {
      if (tracker.isConfigured() && !configuredAddresses.contains(tracker.address())) {
        TargetState before = tracker.state();
        tracker.removeFromConfiguration();
        emitStateChange(tracker, before, actions);
      }
    }
    removeDrained();
    dispatch(nowNanos, actions);
  }

  @Override
  public void offer(CallInfo call, long nowNanos, Consumer<PoolAction> actions) {
    Optional<HandBackReason> handBackReason = checkAdmission(call, nowNanos);
    if (handBackReason.isPresent()) {
      handBack(call, handBackReason.get(), actions);
      return;
    }
    int maxQueued = limits.maxQueuedCallsFor(targets.availableSlots(nowNanos));
    queue.add(call, maxQueued, evicted -> handBack(evicted, HandBackReason.QUEUE_FULL, actions));
    dispatch(nowNanos, actions);
  }

  @Override
  public void callEnded(
      CallId call, TargetOutcome outcome, long nowNanos, Consumer<PoolAction> actions) {
    InFlightCall ended = inFlight.remove(call);
    if (ended == null) {
      return;
    }
    TargetTracker tracker = ended.target();
    final TargetState before = tracker.state();
    tracker.recordEnded(ended, nowNanos);
    if (!(outcome instanceof TargetOutcome.ConnectionLost)) {
      crashCorrelator.recordOtherEnd(ended, nowNanos);
    }
    switch (outcome) {
      case TargetOutcome.Responded responded -> {
        handleResponse(ended, responded, nowNanos);
        tracker.recordReport(responded.report(), nowNanos);
      }
      case TargetOutcome.Shed shed -> {
        tracker.recordShed(serviceTimes.meanNanos(), nowNanos);
        tracker.recordReport(shed.report(), nowNanos);
      }
      case TargetOutcome.NotConnected notConnected -> {
        tracker.outlierDetector().recordConnectFailure();
        recordFailure(tracker, nowNanos);
        tracker.recordConnectionLost();
      }
      case TargetOutcome.ConnectionLost lost -> {
        crashCorrelator.recordConnectionLost(ended, inFlight.values(), nowNanos);
        tracker.outlierDetector().recordError();
        recordFailure(tracker, nowNanos);
        tracker.recordConnectionLost();
      }
      case TargetOutcome.TimedOut timedOut -> handleMissingResponse(ended, true, nowNanos);
      case TargetOutcome.Cancelled cancelled -> handleMissingResponse(ended, false, nowNanos);
    }
    ejectIfOutlier(tracker, nowNanos);
    emitStateChange(tracker, before, actions);
    removeDrained();
    dispatch(nowNanos, actions);
  }

  @Override
  public void removeQueued(CallId call, long nowNanos, Consumer<PoolAction> actions) {
    queue.remove(call);
  }

  @Override
  public void probeCompleted(
      Endpoint target, Optional<LoadReport> report, long nowNanos, Consumer<PoolAction> actions) {
    TargetTracker tracker = targets.get(target);
    if (tracker == null) {
      return;
    }
    TargetState before = tracker.state();
    if (report.isPresent()) {
      tracker.recordReport(report, nowNanos);
    }
    emitStateChange(tracker, before, actions);
    dispatch(nowNanos, actions);
  }

  @Override
  public void idleConnectionsClosed(Endpoint target, long nowNanos, Consumer<PoolAction> actions) {
    TargetTracker tracker = targets.get(target);
    if (tracker == null) {
      return;
    }
    TargetState before = tracker.state();
    tracker.recordConnectionLost();
    emitStateChange(tracker, before, actions);
  }

  @Override
  public void tick(long nowNanos, Consumer<PoolAction> actions) {
    crashCorrelator.tick(nowNanos);
    for (TargetTracker tracker : targets.all()) {
      TargetState before = tracker.state();
      tracker.tick(nowNanos);
      emitStateChange(tracker, before, actions);
      probeIfDue(tracker, nowNanos, actions);
    }
    queue.expire(
        nowNanos,
        serviceTimes.meanNanos(),
        expired -> handBack(expired, HandBackReason.TOO_LATE, actions));
    dispatch(nowNanos, actions);
  }

  @Override
  public void release(long nowNanos, Consumer<PoolAction> actions) {
    released = true;
    handBackAll(HandBackReason.NOT_OWNER, actions);
    for (TargetTracker tracker : targets.all()) {
      actions.accept(new PoolAction.CloseIdleConnections(tracker.address()));
    }
  }

  @Override
  public PoolView view(long nowNanos) {
    long queueWaitNanos =
        targets.isAnyAvailable(nowNanos, serviceTimes.meanNanos())
            ? 0
            : estimateQueueWaitNanos(queue.size(), nowNanos);
    return new PoolView(
        id,
        targets.availableSlots(nowNanos),
        inFlight.size(),
        queue.size(),
        queueWaitNanos,
        serviceTimes.meanNanos(),
        configVersion.getAsLong());
  }

  @Override
  public List<TargetStatus> targetStatuses(long nowNanos) {
    return targets.all().stream()
        .map(
            t ->
                new TargetStatus(t.address(), t.state(), t.running(), t.concurrencyLimit(nowNanos)))
        .toList();
  }

  private Optional<HandBackReason> checkAdmission(CallInfo call, long nowNanos) {
    if (released) {
      return Optional.of(HandBackReason.NOT_OWNER);
    }
    if (isBlocked(call, nowNanos)) {
      return Optional.of(HandBackReason.SUSPECT);
    }
    if (targets.availableSlots(nowNanos) == 0) {
      return Optional.of(HandBackReason.NO_TARGET);
    }
    long remainingNanos = call.deadlineNanos() - nowNanos;
    boolean available =
        queue.isEmpty() && targets.isAnyAvailable(nowNanos, serviceTimes.meanNanos());
    long queueWaitNanos =
        available ? 0 : estimateQueueWaitNanos(queue.callsAhead(call.tenant()), nowNanos);
    if (remainingNanos <= 0 || queueWaitNanos + serviceTimes.meanNanos() > remainingNanos) {
      return Optional.of(HandBackReason.TOO_LATE);
    }
    return Optional.empty();
  }

  private boolean isBlocked(CallInfo call, long nowNanos) {
    Optional<Digest> fingerprint = call.fingerprint();
    return fingerprint.isPresent() && suspects.isBlocked(fingerprint.get(), nowNanos);
  }

  private void handleResponse(InFlightCall ended, TargetOutcome.Responded response, long nowNanos) {
    TargetTracker tracker = ended.target();
    if (response.status() >= MIN_SERVER_ERROR_STATUS) {
      tracker.outlierDetector().recordError();
      recordFailure(tracker, nowNanos);
      return;
    }
    errorPercent.add(0);
    tracker.outlierDetector().recordSuccess(nowNanos);
    long serviceNanos = Math.max(1, response.serviceNanos() - ended.slotWaitNanos());
    long typicalNanos = serviceTimes.typicalNanos();
    tracker.recordResponse(serviceTimes.add(ended.call(), serviceNanos), typicalNanos, nowNanos);
    ended.call().fingerprint().ifPresent(suspects::recordResponse);
  }

  /**
   * Counts a timeout as an error of the target only if the call ran much longer than is typical. A
   * timeout after a short time is due to the caller's deadline, not to the target.
   */
  private void handleMissingResponse(InFlightCall ended, boolean timedOut, long nowNanos) {
    long elapsedNanos = nowNanos - ended.sentNanos() - ended.slotWaitNanos();
    long normalizedNanos = serviceTimes.normalized(ended.call(), Math.max(1, elapsedNanos));
    if (timedOut && normalizedNanos > TIMEOUT_ERROR_RATIO * serviceTimes.typicalNanos()) {
      ended.target().outlierDetector().recordError();
      recordFailure(ended.target(), nowNanos);
      return;
    }
    ended.target().recordMissingResponse(normalizedNanos);
  }

  private void recordFailure(TargetTracker tracker, long nowNanos) {
    errorPercent.add(PERCENT);
    boolean mostCallsSucceed = errorPercent.value() < PERCENT / 2;
    int doublings =
        mostCallsSucceed
            ? Math.min(tracker.outlierDetector().consecutiveErrors() - 1, MAX_PAUSE_DOUBLINGS)
            : 0;
    long pauseNanos = Math.max(serviceTimes.meanNanos(), MIN_PAUSE_NANOS);
    tracker.pauseSends(pauseNanos << Math.max(0, doublings), nowNanos);
  }

  private void ejectIfOutlier(TargetTracker tracker, long nowNanos) {
    boolean acceptsCalls =
        tracker.state() != TargetState.EJECTED && tracker.state() != TargetState.DRAINING;
    if (!tracker.outlierDetector().shouldEject() || !acceptsCalls) {
      return;
    }
    if (targets.ejectedCount() < maxEjectedTargets && targets.usableCount(nowNanos) > 1) {
      tracker.outlierDetector().startEjection(nowNanos);
      tracker.eject();
    }
  }

  private void dispatch(long nowNanos, Consumer<PoolAction> actions) {
    while (!queue.isEmpty()) {
      Optional<TargetTracker> target = targets.chooseAvailable(nowNanos, serviceTimes.meanNanos());
      if (target.isEmpty() && queue.size() >= limits.extraCallMinQueued()) {
        target = targets.chooseForExtraCall(nowNanos, serviceTimes.typicalNanos());
      }
      if (target.isEmpty()) {
        break;
      }
      send(queue.poll().orElseThrow(), target.get(), nowNanos, actions);
    }
    if (!queue.isEmpty() && targets.availableSlots(nowNanos) == 0) {
      handBackAll(HandBackReason.NO_TARGET, actions);
    }
  }

  private void send(
      CallInfo call, TargetTracker target, long nowNanos, Consumer<PoolAction> actions) {
    if (call.deadlineNanos() - nowNanos <= serviceTimes.meanNanos()) {
      handBack(call, HandBackReason.TOO_LATE, actions);
      return;
    }
    if (isBlocked(call, nowNanos)) {
      handBack(call, HandBackReason.SUSPECT, actions);
      return;
    }
    InFlightCall sent = new InFlightCall(call, target, nowNanos);
    target.recordSent(sent, nowNanos);
    inFlight.put(call.id(), sent);
    actions.accept(new PoolAction.Send(call, target.address()));
  }

  private long estimateQueueWaitNanos(int callsAhead, long nowNanos) {
    double callsPerSecond = targets.callsPerSecond(nowNanos, serviceTimes.meanNanos());
    return callsPerSecond == 0 ? 0 : (long) ((callsAhead + 1) * NANOS_PER_SECOND / callsPerSecond);
  }

  private void handBackAll(HandBackReason reason, Consumer<PoolAction> actions) {
    queue.drain(call -> handBack(call, reason, actions));
  }

  private void handBack(CallInfo call, HandBackReason reason, Consumer<PoolAction> actions) {
    actions.accept(new PoolAction.HandBack(call.id(), reason));
  }

  private void probeIfDue(TargetTracker tracker, long nowNanos, Consumer<PoolAction> actions) {
    ProbeSchedule schedule = probeSchedules.get(tracker.address());
    boolean due = schedule.isDue(nowNanos, tracker.lastResponseNanos(), probeIntervalNanos);
    if (released || !tracker.isConfigured() || !due) {
      return;
    }
    schedule.recordProbe(nowNanos);
    actions.accept(new PoolAction.Probe(tracker.address()));
  }

  private void removeDrained() {
    targets.removeDrained();
    if (probeSchedules.size() > 2 * targets.size() + limits.maxQueuedCalls()) {
      probeSchedules.keySet().removeIf(address -> targets.get(address) == null);
    }
  }

  private void emitStateChange(
      TargetTracker tracker, TargetState before, Consumer<PoolAction> actions) {
    TargetState now = tracker.state();
    if (now == before) {
      return;
    }
    actions.accept(new PoolAction.RecordStateChange(tracker.address(), before, now));
    Endpoint address = tracker.address();
    actions.accept(
        switch (now) {
          case WARM ->
              new PoolAction.OpenIdleConnections(address, tracker.desiredIdleConnections());
          case EJECTED, DRAINING -> new PoolAction.CloseIdleConnections(address);
          case COLD, RAMPING -> new PoolAction.OpenIdleConnections(address, 1);
        });
  }
}
