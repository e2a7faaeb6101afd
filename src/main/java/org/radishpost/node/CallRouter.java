package org.radishpost.node;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.radishpost.admission.HedgePolicy;
import org.radishpost.admission.RetryBudget;
import org.radishpost.admission.RetryDecision;
import org.radishpost.admission.RetryPolicy;
import org.radishpost.errors.ResponseTimeoutException;
import org.radishpost.http.Call;
import org.radishpost.http.CallHandler;
import org.radishpost.http.CallResult;
import org.radishpost.http.HopSender;
import org.radishpost.http.Problem;
import org.radishpost.http.Problems;
import org.radishpost.http.Response;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.Verdict;
import org.radishpost.membership.Members;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.TargetOutcome;
import org.radishpost.routing.PoolChooser;
import org.radishpost.routing.PoolHealth;
import org.radishpost.store.VmEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Sends a call from the edge to a pool, and to another pool if it is handed back or may be retried.
 *
 * <p>Thread-safe.
 */
final class CallRouter implements CallHandler {
  private static final int FIRST_SERVER_ERROR = 500;

  private final PoolDirectory directory;
  private final PoolChooser chooser;
  private final Members members;
  private final OwnedPools ownedPools;
  private final HopSender hops;
  private final RetryBudget retryBudget;
  private final RetryPolicy retryPolicy;
  private final Scheduler clock;
  private final PoolHealth health = new PoolHealth();
  private final Map<PoolId, HedgePolicy> hedgePolicies = new ConcurrentHashMap<>();

  CallRouter(
      PoolDirectory directory,
      PoolChooser chooser,
      Members members,
      OwnedPools ownedPools,
      HopSender hops,
      RetryBudget retryBudget,
      Scheduler clock) {
    this.directory = directory;
    this.chooser = chooser;
    this.members = members;
    this.ownedPools = ownedPools;
    this.hops = hops;
    this.retryBudget = retryBudget;
    this.retryPolicy = new RetryPolicy(retryBudget);
    this.clock = clock;
  }

  @Override
  public Mono<Response> handle(Call call) {
    Optional<Problem> keyProblem = ownedPools.keyProblem(call);
    if (keyProblem.isPresent()) {
      return Mono.just(Response.of(keyProblem.get()));
    }
    return sendToNextPool(CallProgress.start(call), HandBackReason.NO_TARGET);
  }

  private Mono<Response> sendToNextPool(CallProgress progress, HandBackReason lastReason) {
    Optional<PoolId> pool = choosePool(progress.call(), progress.triedPools());
    if (pool.isEmpty()) {
      return Mono.just(Response.of(noPoolLeft(progress, lastReason)));
    }
    CallProgress started = progress.withTriedPool(pool.get());
    return sendWithHedge(started, pool.get()).flatMap(result -> handleResult(started, result));
  }

  private static Problem noPoolLeft(CallProgress progress, HandBackReason lastReason) {
    return progress.mayHaveRun()
        ? Problems.responseLost(502, "No other target was available for the retry.")
        : Problems.handedBack(lastReason);
  }

  private Optional<PoolId> choosePool(Call call, Set<PoolId> triedPools) {
    synchronized (chooser) {
      Set<PoolId> usable = health.usable(directory.candidates(call.match()), nowNanos());
      Optional<PoolId> pool = chooser.choose(call.info(), usable, triedPools, nowNanos());
      pool.ifPresent(chosen -> health.recordChosen(chosen, nowNanos()));
      return pool;
    }
  }

  private Mono<CallResult> sendWithHedge(CallProgress progress, PoolId pool) {
    HedgePolicy hedgePolicy =
        hedgePolicies.computeIfAbsent(pool, unused -> new HedgePolicy(retryBudget));
    OptionalLong delay = hedgeDelay(hedgePolicy, progress);
    if (delay.isEmpty()) {
      return sendTimed(progress.call(), pool, hedgePolicy);
    }
    AtomicBoolean ended = new AtomicBoolean();
    Mono<CallResult> second =
        Mono.delay(Duration.ofNanos(delay.getAsLong()), clock)
            .filter(tick -> !ended.get())
            .flatMap(tick -> sendHedge(progress, hedgePolicy));
    Mono<CallResult> first =
        sendTimed(progress.call(), pool, hedgePolicy).doOnNext(result -> ended.set(true));
    return Flux.merge(first, second).takeUntil(CallRouter::isSuccess).reduce(CallRouter::combine);
  }

  private OptionalLong hedgeDelay(HedgePolicy hedgePolicy, CallProgress progress) {
    boolean mayHedge = progress.call().body().isBuffered() && !progress.mayHaveRun();
    if (!mayHedge) {
      return OptionalLong.empty();
    }
    synchronized (hedgePolicy) {
      return hedgePolicy.delayNanos(progress.call().info(), progress.retryAllowance());
    }
  }

  private Mono<CallResult> sendHedge(CallProgress progress, HedgePolicy hedgePolicy) {
    Optional<PoolId> other = choosePool(progress.call(), progress.triedPools());
    if (other.isEmpty()) {
      return Mono.empty();
    }
    synchronized (hedgePolicy) {
      if (!hedgePolicy.tryStart(progress.call().info(), nowNanos())) {
        return Mono.empty();
      }
    }
    return sendToPool(progress.call(), other.get());
  }

  private Mono<CallResult> sendTimed(Call call, PoolId pool, HedgePolicy hedgePolicy) {
    long startNanos = nowNanos();
    return sendToPool(call, pool)
        .doOnNext(
            result -> {
              if (isSuccess(result)) {
                synchronized (hedgePolicy) {
                  hedgePolicy.recordServiceTime(nowNanos() - startNanos);
                }
              }
            });
  }

  private static boolean isSuccess(CallResult result) {
    return result instanceof CallResult.Responded responded
        && responded.response().status() < FIRST_SERVER_ERROR;
  }

  /**
   * Combines the results of an attempt and its hedge, in the order of their completion.
   *
   * <p>Returns the second if it is a success or if the first shows that its attempt did not run.
   * Otherwise returns the first: the call may have run and must not be reported as not run.
   */
  static CallResult combine(CallResult first, CallResult second) {
    boolean firstMayHaveRun =
        first instanceof CallResult.Responded || first instanceof CallResult.Lost;
    return isSuccess(second) || !firstMayHaveRun ? second : first;
  }

  private Mono<CallResult> sendToPool(Call call, PoolId pool) {
    Optional<VmEntry> owner = members.ownerOf(pool);
    if (ownedPools.owns(pool)) {
      return ownedPools.handle(call, pool, () -> {}).doOnNext(result -> recordResult(pool, result));
    }
    if (owner.isEmpty()) {
      return Mono.just(new CallResult.HandedBack(HandBackReason.NO_TARGET, Optional.empty()));
    }
    return hops.send(call, pool, owner.get()).doOnNext(result -> recordResult(pool, result));
  }

  private Mono<Response> handleResult(CallProgress progress, CallResult result) {
    return switch (result) {
      case CallResult.Responded responded -> handleResponse(progress, responded.response());
      case CallResult.HandedBack back ->
          retryOrFail(
              progress,
              retryPolicy.decideAfterHandBack(progress.toEndedAttempt(), back.reason(), nowNanos()),
              Problems.handedBack(back.reason()),
              back.reason());
      case CallResult.Unreachable unreachable ->
          retryOrFail(
              progress,
              retryPolicy.decideAfterHandBack(
                  progress.toEndedAttempt(), HandBackReason.NOT_OWNER, nowNanos()),
              Problems.handedBack(HandBackReason.NOT_OWNER),
              HandBackReason.NOT_OWNER);
      case CallResult.Shed shed ->
          retryOrFail(
              progress,
              retryPolicy.decideAfterAttempt(
                  progress.toEndedAttempt(), new TargetOutcome.Shed(Optional.empty()), nowNanos()),
              Problems.handedBack(HandBackReason.NO_TARGET),
              HandBackReason.NO_TARGET);
      case CallResult.Lost lost -> handleLost(progress.withPossibleRun(), lost);
    };
  }

  private Mono<Response> handleResponse(CallProgress progress, Response response) {
    if (!isServerError(response)) {
      retryBudget.recordSuccess();
      return Mono.just(response);
    }
    RetryDecision decision =
        retryPolicy.decideAfterAttempt(
            progress.withPossibleRun().toEndedAttempt(),
            new TargetOutcome.ConnectionLost(false),
            nowNanos());
    if (decision instanceof RetryDecision.Retry retry && progress.call().info().idempotent()) {
      response.body().subscribe(part -> part.release(), error -> {});
      return sendToNextPool(
          progress.withPossibleRun().afterReroute(retry.allowance()), HandBackReason.NO_TARGET);
    }
    return Mono.just(response);
  }

  private Mono<Response> handleLost(CallProgress progress, CallResult.Lost lost) {
    boolean timedOut = lost.cause() instanceof ResponseTimeoutException;
    TargetOutcome outcome =
        timedOut ? new TargetOutcome.TimedOut() : new TargetOutcome.ConnectionLost(false);
    return retryOrFail(
        progress,
        retryPolicy.decideAfterAttempt(progress.toEndedAttempt(), outcome, nowNanos()),
        Problems.responseLost(timedOut ? 504 : 502, lost.cause().getMessage()),
        HandBackReason.NO_TARGET);
  }

  private Mono<Response> retryOrFail(
      CallProgress progress, RetryDecision decision, Problem problem, HandBackReason reason) {
    if (decision instanceof RetryDecision.Retry retry && progress.call().body().canReroute()) {
      return sendToNextPool(progress.afterReroute(retry.allowance()), reason);
    }
    boolean wouldReportNotRun = progress.mayHaveRun() && problem.verdict() == Verdict.NOT_RUN;
    return Mono.just(Response.of(wouldReportNotRun ? noPoolLeft(progress, reason) : problem));
  }

  private void recordResult(PoolId pool, CallResult result) {
    synchronized (chooser) {
      result.view().ifPresent(view -> chooser.viewReceived(view, nowNanos()));
      switch (result) {
        case CallResult.HandedBack back -> chooser.callHandedBack(pool, back.reason(), nowNanos());
        case CallResult.Unreachable unreachable -> chooser.ownerUnreachable(pool, nowNanos());
        case CallResult.Responded responded ->
            recordHealth(pool, isServerError(responded.response()));
        case CallResult.Shed shed -> {}
        case CallResult.Lost lost -> recordHealth(pool, true);
      }
    }
  }

  private void recordHealth(PoolId pool, boolean failed) {
    health.recordResult(pool, failed, nowNanos());
  }

  private static boolean isServerError(Response response) {
    return response.status() >= FIRST_SERVER_ERROR && response.refusalVerdict().isEmpty();
  }

  private long nowNanos() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
