package org.radishpost.direct;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.radishpost.admission.ServiceBudget;
import org.radishpost.events.EventCode;
import org.radishpost.http.Call;
import org.radishpost.http.CallHandler;
import org.radishpost.http.Response;
import org.radishpost.lib.ServiceName;
import org.radishpost.placement.PlacementRequest;
import org.radishpost.placement.TrackedTarget;
import org.radishpost.placement.TrafficSplitter;
import org.radishpost.slots.SlotOutcome;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Sends each call directly to a target, which a {@link TargetChooser} chooses.
 *
 * <p>A call is retried only if no target ran it or if it is idempotent, and only within the attempt
 * limit of its route and the retry budget of this VM. Confined to one thread.
 */
public final class DirectRouter implements CallHandler {
  /**
   * Maximum hold time of a call as a fraction of its remaining time. The rest is left for the
   * caller to retry at another entry.
   */
  private static final double MAX_HOLD_FRACTION = 0.5;

  /** Maximum hold time of a call to a service whose targets do not report their load. */
  private static final Duration MAX_UNCERTAIN_HOLD = Duration.ofMillis(150);

  private final CallCandidates candidates;
  private final TrafficSplitter splitter;
  private final TargetChooser chooser;
  private final AttemptSender attemptSender;
  private final AttemptEvaluator evaluator;
  private final CallHedger hedger;
  private final ServiceBudget retryBudget;
  private final CrashGuard crashGuard;
  private final FinalResponses finalResponses;
  private final CallLog log;
  private final Scheduler clock;
  private final Mono<Void> stopSending;

  /**
   * Creates a router from its components.
   *
   * @param candidates finds the targets that a call may be sent to
   * @param splitter distributes calls over the services of a route
   * @param chooser chooses the target of each attempt
   * @param attemptSender sends each attempt to its target
   * @param evaluator evaluates the response or error of each attempt
   * @param hedger sends a call to a second target if its response takes too long
   * @param retryBudget the retry budget of this VM
   * @param crashGuard decides whether a call that may crash targets is sent
   * @param finalResponses the responses to calls that are not sent any further
   * @param log receives a line for each notable event of a call
   * @param clock provides time and timers
   * @param stopSending completes when no further call may be sent; calls that wait are refused then
   */
  DirectRouter(
      CallCandidates candidates,
      TrafficSplitter splitter,
      TargetChooser chooser,
      AttemptSender attemptSender,
      AttemptEvaluator evaluator,
      CallHedger hedger,
      ServiceBudget retryBudget,
      CrashGuard crashGuard,
      FinalResponses finalResponses,
      CallLog log,
      Scheduler clock,
      Mono<Void> stopSending) {
    this.candidates = candidates;
    this.splitter = splitter;
    this.chooser = chooser;
    this.attemptSender = attemptSender;
    this.evaluator = evaluator;
    this.hedger = hedger;
    this.retryBudget = retryBudget;
    this.crashGuard = crashGuard;
    this.finalResponses = finalResponses;
    this.log = log;
    this.clock = clock;
    this.stopSending = stopSending;
  }

  @Override
  public Mono<Response> handle(Call call) {
    return Mono.defer(
        () -> {
          ServiceName service = splitter.next(call.match().route());
          retryBudget.recordCall(service);
          chooser.recordCall(service);
          CallAttempts attempts = newAttempts(call, service);
          return chooseAndSend(attempts)
              .timeout(
                  attempts.remaining(now()),
                  Mono.fromSupplier(() -> finalResponses.deadlineExceeded(attempts)),
                  clock)
              .doOnCancel(() -> logAbandoned(attempts));
        });
  }

  private CallAttempts newAttempts(Call call, ServiceName service) {
    long now = now();
    long remainingNanos = Math.max(0, call.info().deadlineNanos() - now);
    long holdNanos = (long) (MAX_HOLD_FRACTION * remainingNanos);
    return new CallAttempts(
        call,
        service,
        placementRequest(call, now),
        now,
        now + Math.min(holdNanos, MAX_UNCERTAIN_HOLD.toNanos()),
        now + holdNanos);
  }

  private static PlacementRequest placementRequest(Call call, long now) {
    long respondByNanos =
        call.match()
            .route()
            .policy()
            .targetLatency()
            .map(targetLatency -> now + targetLatency.toNanos())
            .orElse(call.info().deadlineNanos());
    double kilobytes = Math.max(0, call.info().bodyBytes()) / 1000.0 + 1;
    return new PlacementRequest(
        call.info().route(),
        Math.min(respondByNanos, call.info().deadlineNanos()),
        call.info().deadlineNanos(),
        kilobytes);
  }

  private Mono<Response> chooseAndSend(CallAttempts attempts) {
    Optional<Response> blocked = refusalIfBlocked(attempts);
    if (blocked.isPresent()) {
      return Mono.just(blocked.get());
    }
    Mono<TargetChoice> stopping =
        stopSending.then(Mono.just(new TargetChoice.None("this VM is shutting down")));
    return Mono.firstWithSignal(stopping, Mono.defer(() -> chooser.choose(attempts)))
        .flatMap(
            choice ->
                switch (choice) {
                  case TargetChoice.Chosen chosen -> sendWithHedge(attempts, chosen);
                  case TargetChoice.None none ->
                      Mono.just(finalResponses.withoutResponse(attempts, none.reason()));
                });
  }

  private Mono<Response> sendWithHedge(CallAttempts attempts, TargetChoice.Chosen chosen) {
    Mono<Response> first = send(attempts, chosen);
    return hedger.hedge(attempts, chosen.target(), first, second -> send(attempts, second));
  }

  private Mono<Response> send(CallAttempts attempts, TargetChoice.Chosen chosen) {
    if (attempts.deadlineReached(now())) {
      chosen.slot().release(SlotOutcome.UNUSED, Duration.ZERO, Optional.empty());
      return Mono.just(finalResponses.deadlineExceeded(attempts));
    }
    Optional<Response> blocked = refusalIfBlocked(attempts);
    if (blocked.isPresent()) {
      chosen.slot().release(SlotOutcome.UNUSED, Duration.ZERO, Optional.empty());
      return Mono.just(blocked.get());
    }
    SentCall sent = attemptSender.start(attempts, chosen);
    return attemptSender
        .send(attempts, sent)
        .flatMap(
            response ->
                conclude(attempts, sent, evaluator.evaluateResponse(attempts, sent, response)))
        .onErrorResume(
            error -> conclude(attempts, sent, evaluator.evaluateError(attempts, sent, error)));
  }

  /** Returns the response to a call that has crashed its targets; empty if it may be sent. */
  private Optional<Response> refusalIfBlocked(CallAttempts attempts) {
    return crashGuard
        .blockedFor(attempts)
        .map(duration -> finalResponses.blocked(attempts, duration));
  }

  private Mono<Response> conclude(CallAttempts attempts, SentCall sent, AttemptResult result) {
    TrackedTarget target = sent.target();
    return switch (result) {
      case AttemptResult.Succeeded succeeded ->
          Mono.just(finalResponses.succeeded(attempts, target, succeeded.response()));
      case AttemptResult.Failed failed ->
          Mono.just(finalResponses.failed(attempts, target, failed.reason(), failed.response()));
      case AttemptResult.Retryable failed -> retryOrEnd(attempts, target, failed);
    };
  }

  private Mono<Response> retryOrEnd(
      CallAttempts attempts, TrackedTarget target, AttemptResult.Retryable failed) {
    if (tryStartRetry(attempts)) {
      log.write(EventCode.CALL_RESENT, attempts, failed.reason(), Optional.of(target), now());
      return chooseAndSend(attempts);
    }
    return Mono.just(
        failed
            .fallback()
            .map(response -> finalResponses.failed(attempts, target, failed.reason(), response))
            .orElseGet(() -> finalResponses.withoutResponse(attempts, failed.reason())));
  }

  /** Returns whether a call may be sent again; takes it from the retry budget if it was sent. */
  private boolean tryStartRetry(CallAttempts attempts) {
    boolean reachedTarget = attempts.connectedAttempts() > 0;
    boolean canResend = attempts.call().body().canReroute() && !candidates.of(attempts).isEmpty();
    return attempts.hasAttemptsLeft()
        && canResend
        && (!reachedTarget || retryBudget.tryAcquire(attempts.service()));
  }

  private void logAbandoned(CallAttempts attempts) {
    log.write(
        EventCode.CALL_ABANDONED,
        attempts,
        "the caller disconnected",
        attempts.lastTarget(),
        now());
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
