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
import org.radishpost.errors.AnswerTimeoutException;
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
 * Takes a call from the edge to a pool, and to another one when it is handed back or may be sent
 * again.
 *
 * <p>Thread-safe.
 */
final class CallRouter implements CallHandler {
  private static final int SERVER_ERROR = 500;

  private final PoolDirectory directory;
  private final PoolChooser chooser;
  private final Members members;
  private final OwnedPools owned;
  private final HopSender hops;
  private final RetryBudget budget;
  private final RetryPolicy retries;
  private final Scheduler clock;
  private final PoolHealth health = new PoolHealth();
  private final Map<PoolId, HedgePolicy> hedges = new ConcurrentHashMap<>();

  CallRouter(
      PoolDirectory directory,
      PoolChooser chooser,
      Members members,
      OwnedPools owned,
      HopSender hops,
      RetryBudget budget,
      Scheduler clock) {
    this.directory = directory;
    this.chooser = chooser;
    this.members = members;
    this.owned = owned;
    this.hops = hops;
    this.budget = budget;
    this.retries = new RetryPolicy(budget);
    this.clock = clock;
  }

  @Override
  public Mono<Response> handle(Call call) {
    Optional<Problem> refusal = owned.refusal(call);
    if (refusal.isPresent()) {
      return Mono.just(Response.of(refusal.get()));
    }
    return attempt(Attempt.first(call), HandBackReason.NO_TARGET);
  }

  private Mono<Response> attempt(Attempt attempt, HandBackReason last) {
    Optional<PoolId> pool = choose(attempt.call(), attempt.tried());
    if (pool.isEmpty()) {
      return Mono.just(Response.of(refused(attempt, last)));
    }
    Attempt begun = attempt.at(pool.get());
    return hedged(begun, pool.get()).flatMap(result -> next(begun, result));
  }

  private static Problem refused(Attempt attempt, HandBackReason last) {
    return attempt.mayHaveRun()
        ? Problems.responseLost(503, "No other target could take the retry.")
        : Problems.handedBack(last);
  }

  private Optional<PoolId> choose(Call call, Set<PoolId> tried) {
    synchronized (chooser) {
      Set<PoolId> usable = health.usable(directory.candidates(call.match()), now());
      Optional<PoolId> pool = chooser.choose(call.facts(), usable, tried, now());
      pool.ifPresent(chosen -> health.chosen(chosen, now()));
      return pool;
    }
  }

  private Mono<CallResult> hedged(Attempt attempt, PoolId pool) {
    HedgePolicy policy = hedges.computeIfAbsent(pool, unused -> new HedgePolicy(budget));
    OptionalLong delay = hedgeDelay(policy, attempt);
    if (delay.isEmpty()) {
      return timed(attempt.call(), pool, policy);
    }
    AtomicBoolean ended = new AtomicBoolean();
    Mono<CallResult> second =
        Mono.delay(Duration.ofNanos(delay.getAsLong()), clock)
            .filter(tick -> !ended.get())
            .flatMap(tick -> hedge(attempt, policy));
    Mono<CallResult> first =
        timed(attempt.call(), pool, policy).doOnNext(result -> ended.set(true));
    return Flux.merge(first, second).takeUntil(CallRouter::wins).reduce(CallRouter::better);
  }

  private OptionalLong hedgeDelay(HedgePolicy policy, Attempt attempt) {
    boolean mayHedge = attempt.call().body().isBuffered() && !attempt.mayHaveRun();
    if (!mayHedge) {
      return OptionalLong.empty();
    }
    synchronized (policy) {
      return policy.delayNanos(attempt.call().facts(), attempt.allowance());
    }
  }

  private Mono<CallResult> hedge(Attempt attempt, HedgePolicy policy) {
    Optional<PoolId> other = choose(attempt.call(), attempt.tried());
    if (other.isEmpty()) {
      return Mono.empty();
    }
    synchronized (policy) {
      if (!policy.tryStart(attempt.call().facts(), now())) {
        return Mono.empty();
      }
    }
    return run(attempt.call(), other.get());
  }

  private Mono<CallResult> timed(Call call, PoolId pool, HedgePolicy policy) {
    long start = now();
    return run(call, pool)
        .doOnNext(
            result -> {
              if (wins(result)) {
                synchronized (policy) {
                  policy.recordServiceTime(now() - start);
                }
              }
            });
  }

  private static boolean wins(CallResult result) {
    return result instanceof CallResult.Responded answered
        && answered.response().status() < SERVER_ERROR;
  }

  /** Returns the result that is true of both sends: one that may have run goes before not-run. */
  static CallResult better(CallResult first, CallResult second) {
    boolean firstMayHaveRun =
        first instanceof CallResult.Responded || first instanceof CallResult.Lost;
    return wins(second) || !firstMayHaveRun ? second : first;
  }

  private Mono<CallResult> run(Call call, PoolId pool) {
    Optional<VmEntry> owner = members.ownerOf(pool);
    if (owned.owns(pool)) {
      return owned.handle(call, pool, () -> {}).doOnNext(result -> note(pool, result));
    }
    if (owner.isEmpty()) {
      return Mono.just(new CallResult.HandedBack(HandBackReason.NO_TARGET, Optional.empty()));
    }
    return hops.send(call, pool, owner.get()).doOnNext(result -> note(pool, result));
  }

  private Mono<Response> next(Attempt attempt, CallResult result) {
    return switch (result) {
      case CallResult.Responded answered -> answered(attempt, answered.response());
      case CallResult.HandedBack back ->
          follow(
              attempt,
              retries.decideAfterHandBack(attempt.forPolicy(), back.reason(), now()),
              Problems.handedBack(back.reason()),
              back.reason());
      case CallResult.Unreachable unreachable ->
          follow(
              attempt,
              retries.decideAfterHandBack(attempt.forPolicy(), HandBackReason.NOT_OWNER, now()),
              Problems.handedBack(HandBackReason.NOT_OWNER),
              HandBackReason.NOT_OWNER);
      case CallResult.Shed shed ->
          follow(
              attempt,
              retries.decideAfterAttempt(
                  attempt.forPolicy(), new TargetOutcome.Shed(Optional.empty()), now()),
              Problems.handedBack(HandBackReason.NO_TARGET),
              HandBackReason.NO_TARGET);
      case CallResult.Lost lost -> lost(attempt.lost(), lost);
    };
  }

  private Mono<Response> answered(Attempt attempt, Response reply) {
    if (!serverError(reply)) {
      budget.recordSuccess();
      return Mono.just(reply);
    }
    RetryDecision decision =
        retries.decideAfterAttempt(
            attempt.lost().forPolicy(), new TargetOutcome.ConnectionLost(false), now());
    if (decision instanceof RetryDecision.Retry retry && attempt.call().facts().idempotent()) {
      reply.body().subscribe(part -> part.release(), error -> {});
      return attempt(attempt.lost().again(retry.allowance()), HandBackReason.NO_TARGET);
    }
    return Mono.just(reply);
  }

  private Mono<Response> lost(Attempt attempt, CallResult.Lost lost) {
    boolean late = lost.cause() instanceof AnswerTimeoutException;
    TargetOutcome outcome =
        late ? new TargetOutcome.TimedOut() : new TargetOutcome.ConnectionLost(false);
    return follow(
        attempt,
        retries.decideAfterAttempt(attempt.forPolicy(), outcome, now()),
        Problems.responseLost(late ? 504 : 502, lost.cause().getMessage()),
        HandBackReason.NO_TARGET);
  }

  private Mono<Response> follow(
      Attempt attempt, RetryDecision decision, Problem otherwise, HandBackReason reason) {
    if (decision instanceof RetryDecision.Retry retry && attempt.call().body().canReroute()) {
      return attempt(attempt.again(retry.allowance()), reason);
    }
    boolean unknown = attempt.mayHaveRun() && otherwise.verdict() == Verdict.NOT_RUN;
    return Mono.just(Response.of(unknown ? refused(attempt, reason) : otherwise));
  }

  private void note(PoolId pool, CallResult result) {
    synchronized (chooser) {
      result.view().ifPresent(view -> chooser.seen(view, now()));
      switch (result) {
        case CallResult.HandedBack back -> chooser.handedBack(pool, back.reason(), now());
        case CallResult.Unreachable unreachable -> chooser.unreachable(pool, now());
        case CallResult.Responded answered -> judge(pool, serverError(answered.response()));
        case CallResult.Shed shed -> {}
        case CallResult.Lost lost -> judge(pool, true);
      }
    }
  }

  private void judge(PoolId pool, boolean failed) {
    health.answered(pool, failed, now());
  }

  private static boolean serverError(Response reply) {
    return reply.status() >= SERVER_ERROR && reply.refusalVerdict().isEmpty();
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
