package org.radishpost.direct;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.radishpost.admission.ServiceBudget;
import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.errors.ResponseTimeoutException;
import org.radishpost.events.EventCode;
import org.radishpost.http.Call;
import org.radishpost.http.CallHandler;
import org.radishpost.http.CallSender;
import org.radishpost.http.Exchange;
import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.http.ResponseBuffering;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.Verdict;
import org.radishpost.placement.ColdTargetLimiter;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.PlacementRequest;
import org.radishpost.placement.RouteServiceTimes;
import org.radishpost.placement.TargetSelector;
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

  private static final int SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int TOO_MANY_REQUESTS = 429;

  private final CallCandidates candidates;
  private final TrafficSplitter splitter;
  private final TargetChooser chooser;
  private final TargetSelector selector;
  private final ColdTargetLimiter coldTargetLimiter;
  private final RouteServiceTimes serviceTimes;
  private final TargetProtocol protocol;
  private final CallSender sender;
  private final ResponseBuffering buffering;
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
   * @param selector decides when a call is hedged
   * @param coldTargetLimiter limits the calls to cold targets; notified of each call sent
   * @param serviceTimes the mean service times of the routes; updated from responses
   * @param protocol builds requests for targets and parses their responses
   * @param sender sends calls to targets
   * @param buffering keeps small responses in memory until they are complete
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
      TargetSelector selector,
      ColdTargetLimiter coldTargetLimiter,
      RouteServiceTimes serviceTimes,
      TargetProtocol protocol,
      CallSender sender,
      ResponseBuffering buffering,
      ServiceBudget retryBudget,
      CrashGuard crashGuard,
      FinalResponses finalResponses,
      CallLog log,
      Scheduler clock,
      Mono<Void> stopSending) {
    this.candidates = candidates;
    this.splitter = splitter;
    this.chooser = chooser;
    this.selector = selector;
    this.coldTargetLimiter = coldTargetLimiter;
    this.serviceTimes = serviceTimes;
    this.protocol = protocol;
    this.sender = sender;
    this.buffering = buffering;
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

  /** Sends a call; an idempotent one is hedged if the response takes too long. */
  private Mono<Response> sendWithHedge(CallAttempts attempts, TargetChoice.Chosen chosen) {
    Mono<Response> first = send(attempts, chosen);
    if (!attempts.call().info().idempotent()
        || !attempts.hasAttemptsLeft()
        || crashGuard.isSuspected(attempts)) {
      return first;
    }
    Duration delay = Duration.ofNanos(selector.hedgeDelayNanos(attempts.placementRequest(), now()));
    Mono<Response> second = Mono.defer(() -> sendHedge(attempts, chosen.target()));
    return HedgedRequest.of(
        first, Mono.delay(delay, clock), second, DirectRouter::succeeded, DirectRouter::preferred);
  }

  private Mono<Response> sendHedge(CallAttempts attempts, TrackedTarget firstTarget) {
    if (!attempts.hasAttemptsLeft()) {
      return Mono.empty();
    }
    return chooser
        .chooseForHedge(attempts)
        .ofType(TargetChoice.Chosen.class)
        .flatMap(chosen -> sendHedge(attempts, firstTarget, chosen));
  }

  private Mono<Response> sendHedge(
      CallAttempts attempts, TrackedTarget firstTarget, TargetChoice.Chosen chosen) {
    if (!retryBudget.tryAcquire(attempts.service())) {
      chosen.slot().release(SlotOutcome.UNUSED, Duration.ZERO, Optional.empty());
      return Mono.empty();
    }
    log.write(EventCode.CALL_HEDGED, attempts, "no response yet", Optional.of(firstTarget), now());
    return send(attempts, chosen);
  }

  private static boolean succeeded(Response response) {
    return response.refusalVerdict().isEmpty() && response.status() < SERVER_ERROR;
  }

  /**
   * Returns the better of two responses. A response that may come from a completed run takes
   * precedence over one that states that the call did not run.
   */
  private static Response preferred(Response first, Response second) {
    boolean preferSecond =
        succeeded(second) || first.refusalVerdict().filter(Verdict.NOT_RUN::equals).isPresent();
    return preferSecond ? second : first;
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
    TrackedTarget target = chosen.target();
    attempts.recordSend(target, now());
    target.recordSend();
    coldTargetLimiter.recordSend(target, now());
    attempts.call().body().allowRemainder();
    SentCall sent =
        new SentCall(
            chosen,
            now(),
            slowdownPercent(target),
            crashGuard.isSuspected(attempts),
            new Exchange());
    return sender
        .send(
            target.target().address(),
            head(attempts, target),
            attempts.call().body(),
            attempts.remaining(now()),
            sent.exchange())
        .flatMap(buffering::bufferIfSmall)
        .doFinally(signal -> target.recordEnd())
        .doOnTerminate(() -> attempts.recordExchange(sent.exchange()))
        .doOnCancel(() -> release(sent, cancelOutcome(attempts), Optional.empty()))
        .flatMap(response -> handleResponse(attempts, sent, response))
        .onErrorResume(error -> handleError(attempts, sent, error));
  }

  /** Returns the response to a call that has crashed its targets; empty if it may be sent. */
  private Optional<Response> refusalIfBlocked(CallAttempts attempts) {
    return crashGuard
        .blockedFor(attempts)
        .map(duration -> finalResponses.blocked(attempts, duration));
  }

  /** Returns the slot before the outcome is acted on, because a retry needs another slot. */
  private void release(SentCall sent, SlotOutcome outcome, Optional<LoadSample> load) {
    Duration serviceTime = Duration.ofNanos(now() - sent.startNanos());
    sent.chosen().slot().release(outcome, serviceTime, load);
  }

  /** A call that is cancelled at its deadline was not answered by its target. */
  private SlotOutcome cancelOutcome(CallAttempts attempts) {
    return attempts.deadlineReached(now()) ? SlotOutcome.FAILED : SlotOutcome.UNUSED;
  }

  private RequestHead head(CallAttempts attempts, TrackedTarget target) {
    long remainingMillis = attempts.remaining(now()).toMillis();
    return protocol.callHead(attempts.call().head(), target.target().id(), remainingMillis);
  }

  private static int slowdownPercent(TrackedTarget target) {
    return target
        .lastSample()
        .map(LoadSample::slowdownPercent)
        .orElse(LoadSample.NO_SLOWDOWN_PERCENT);
  }

  private Mono<Response> handleResponse(CallAttempts attempts, SentCall sent, Response response) {
    TrackedTarget target = sent.chosen().target();
    TargetResponseInfo info = protocol.parse(response);
    info.currentLoad().ifPresent(load -> target.recordSample(load, now()));
    if (info.notRun()) {
      release(sent, SlotOutcome.NOT_RUN, info.currentLoad());
      attempts.recordNotRun();
      return retry(attempts, "target did not run the call, status " + response.status(), target);
    }
    attempts.recordPossiblyRun();
    boolean failure = response.status() >= SERVER_ERROR || response.status() == TOO_MANY_REQUESTS;
    boolean authenticatedOrFailure = failure || info.authenticated();
    boolean success = !failure && authenticatedOrFailure;
    if (info.authenticated()) {
      crashGuard.recordResponse(attempts);
    }
    release(sent, success ? SlotOutcome.SUCCEEDED : SlotOutcome.FAILED, info.currentLoad());
    if (success) {
      target.recordSuccess();
      serviceTimes.record(
          attempts.placementRequest().route(), now() - sent.startNanos(), sent.slowdownPercent());
      return Mono.just(finalResponses.succeeded(attempts, target, response));
    }
    target.recordFailure(now());
    String reason =
        authenticatedOrFailure
            ? "target failed, status " + response.status()
            : "unauthenticated response";
    Response fallback =
        canForward(response, authenticatedOrFailure) ? response : FinalResponses.lost(reason);
    if (attempts.call().info().idempotent()) {
      return retryOrElse(attempts, reason, target, fallback);
    }
    return Mono.just(finalResponses.failed(attempts, target, reason, fallback));
  }

  /**
   * Returns whether a failed response may be forwarded to the caller. Status 429 and 503 are not
   * forwarded, because callers conclude from them that the call did not run.
   */
  private static boolean canForward(Response response, boolean authenticatedOrFailure) {
    return authenticatedOrFailure
        && response.status() != SERVICE_UNAVAILABLE
        && response.status() != TOO_MANY_REQUESTS;
  }

  private Mono<Response> handleError(CallAttempts attempts, SentCall sent, Throwable error) {
    TrackedTarget target = sent.chosen().target();
    if (error instanceof NotConnectedException) {
      release(sent, SlotOutcome.UNREACHABLE, Optional.empty());
      attempts.recordNotConnected();
      target.recordUnreachable(now());
      return retry(attempts, error.getMessage(), target);
    }
    release(sent, SlotOutcome.FAILED, Optional.empty());
    attempts.recordPossiblyRun();
    target.recordFailure(now());
    if (error instanceof ConnectionLostException) {
      crashGuard.recordConnectionLost(attempts, target, sent.startNanos());
    }
    boolean timedOut = error instanceof ResponseTimeoutException;
    Response fallback =
        timedOut
            ? FinalResponses.timedOut(error.getMessage())
            : FinalResponses.lost(error.getMessage());
    boolean mayRetry = attempts.call().info().idempotent() && !timedOut;
    if (mayRetry && !sent.suspected()) {
      return retryOrElse(attempts, error.getMessage(), target, fallback);
    }
    return Mono.just(finalResponses.failed(attempts, target, error.getMessage(), fallback));
  }

  private Mono<Response> retry(CallAttempts attempts, String reason, TrackedTarget target) {
    return retryOrElse(attempts, reason, target, null);
  }

  private Mono<Response> retryOrElse(
      CallAttempts attempts, String reason, TrackedTarget target, Response fallback) {
    boolean reachedTarget = attempts.connectedAttempts() > 0;
    boolean canResend = attempts.call().body().canReroute() && !candidates.of(attempts).isEmpty();
    if (attempts.hasAttemptsLeft()
        && canResend
        && (!reachedTarget || retryBudget.tryAcquire(attempts.service()))) {
      log.write(EventCode.CALL_RESENT, attempts, reason, Optional.of(target), now());
      return chooseAndSend(attempts);
    }
    if (fallback != null) {
      return Mono.just(finalResponses.failed(attempts, target, reason, fallback));
    }
    return Mono.just(finalResponses.withoutResponse(attempts, reason));
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

  /**
   * An attempt that was sent.
   *
   * @param chosen the target and its slot
   * @param startNanos when it was sent
   * @param slowdownPercent the slowdown of the target at that time
   * @param suspected whether a target had crashed while it ran a request like this one
   * @param exchange what is observed of its connection
   */
  private record SentCall(
      TargetChoice.Chosen chosen,
      long startNanos,
      int slowdownPercent,
      boolean suspected,
      Exchange exchange) {}
}
