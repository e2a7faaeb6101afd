package org.radishpost.direct;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.radishpost.admission.ServiceBudget;
import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.errors.ResponseTimeoutException;
import org.radishpost.events.EventCode;
import org.radishpost.http.Call;
import org.radishpost.http.CallHandler;
import org.radishpost.http.CallSender;
import org.radishpost.http.Exchange;
import org.radishpost.http.Problem;
import org.radishpost.http.Problems;
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
import org.radishpost.pool.HandBackReason;
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
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int MIN_RETRY_AFTER_MILLIS = 100;
  private static final int RETRY_AFTER_JITTER_MILLIS = 300;

  /** Additional {@code Retry-After} of a late call as a fraction of its remaining time. */
  private static final double LATE_RETRY_DELAY_FRACTION = 0.3;

  private final CallCandidates candidates;
  private final TargetChooser chooser;
  private final TargetSelector selector;
  private final ColdTargetLimiter coldTargetLimiter;
  private final RouteServiceTimes serviceTimes;
  private final TrafficSplitter splitter;
  private final TargetProtocol protocol;
  private final CallSender sender;
  private final ResponseBuffering buffering;
  private final ServiceBudget retryBudget;
  private final CrashGuard crashGuard;
  private final CallLog log;
  private final Scheduler clock;
  private final RandomGenerator random;
  private final Mono<Void> stopSending;

  /**
   * Creates a router from its components.
   *
   * @param candidates finds the targets that a call may be sent to
   * @param chooser chooses the target of each attempt
   * @param selector decides when a call is hedged
   * @param coldTargetLimiter limits the calls to cold targets; notified of each call sent
   * @param serviceTimes the mean service times of the routes; updated from responses
   * @param protocol builds requests for targets and parses their responses
   * @param sender sends calls to targets
   * @param buffering keeps small responses in memory until they are complete
   * @param retryBudget the retry budget of this VM
   * @param crashGuard decides whether a call that may crash targets is sent
   * @param log receives a line for each notable event of a call
   * @param clock provides time and timers
   * @param random the source of jitter for {@code Retry-After}
   * @param stopSending completes when no further call may be sent; calls that wait are refused then
   */
  DirectRouter(
      CallCandidates candidates,
      TargetChooser chooser,
      TargetSelector selector,
      ColdTargetLimiter coldTargetLimiter,
      RouteServiceTimes serviceTimes,
      TargetProtocol protocol,
      CallSender sender,
      ResponseBuffering buffering,
      ServiceBudget retryBudget,
      CrashGuard crashGuard,
      CallLog log,
      Scheduler clock,
      RandomGenerator random,
      Mono<Void> stopSending) {
    this.candidates = candidates;
    this.chooser = chooser;
    this.selector = selector;
    this.coldTargetLimiter = coldTargetLimiter;
    this.serviceTimes = serviceTimes;
    this.splitter = new TrafficSplitter(random);
    this.protocol = protocol;
    this.sender = sender;
    this.buffering = buffering;
    this.retryBudget = retryBudget;
    this.crashGuard = crashGuard;
    this.log = log;
    this.clock = clock;
    this.random = random;
    this.stopSending = stopSending;
  }

  @Override
  public Mono<Response> handle(Call call) {
    return Mono.defer(
        () -> {
          ServiceName service = splitter.next(call.match().route());
          retryBudget.recordCall(service);
          chooser.recordCall(service);
          long holdNanos = (long) (MAX_HOLD_FRACTION * remaining(call).toNanos());
          CallAttempts attempts =
              new CallAttempts(
                  call,
                  service,
                  placementRequest(call),
                  now(),
                  now() + Math.min(holdNanos, MAX_UNCERTAIN_HOLD.toNanos()),
                  now() + holdNanos);
          return chooseAndSend(attempts)
              .timeout(remaining(call), Mono.fromSupplier(() -> deadlineExceeded(attempts)), clock)
              .doOnCancel(() -> logAbandoned(attempts));
        });
  }

  private PlacementRequest placementRequest(Call call) {
    long now = now();
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
                      Mono.just(endWithoutResponse(attempts, none.reason()));
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
    if (attempts.call().info().deadlineNanos() - now() <= 0) {
      chosen.slot().release(SlotOutcome.UNUSED, Duration.ZERO, Optional.empty());
      return Mono.just(deadlineExceeded(attempts));
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
            remaining(attempts.call()),
            sent.exchange())
        .flatMap(buffering::bufferIfSmall)
        .doFinally(signal -> target.recordEnd())
        .doOnTerminate(() -> attempts.recordExchange(sent.exchange()))
        .doOnCancel(() -> release(sent, cancelOutcome(attempts), Optional.empty()))
        .flatMap(response -> handleResponse(attempts, sent, response))
        .onErrorResume(error -> handleError(attempts, sent, error));
  }

  /**
   * Returns the refusal of a call that has crashed its targets; empty if it may be sent. It may
   * have been sent before, to a target that has not responded.
   */
  private Optional<Response> refusalIfBlocked(CallAttempts attempts) {
    return crashGuard.blockedFor(attempts).map(duration -> refuseBlocked(attempts, duration));
  }

  private Response refuseBlocked(CallAttempts attempts, Duration duration) {
    String reason = "targets crashed, fingerprint " + attempts.fingerprint().shortHex();
    log.write(EventCode.SUSPECT_REFUSED, attempts, reason, attempts.lastTarget(), now());
    if (attempts.mayHaveRun()) {
      return lostResponse(BAD_GATEWAY, "Targets have crashed while they ran this request.");
    }
    return Response.of(Problems.handedBack(HandBackReason.SUSPECT)).withRetryAfter(duration);
  }

  /** Returns the slot before the outcome is acted on, because a retry needs another slot. */
  private void release(SentCall sent, SlotOutcome outcome, Optional<LoadSample> load) {
    Duration serviceTime = Duration.ofNanos(now() - sent.startNanos());
    sent.chosen().slot().release(outcome, serviceTime, load);
  }

  /** A call that is cancelled at its deadline was not answered by its target. */
  private SlotOutcome cancelOutcome(CallAttempts attempts) {
    boolean deadlineReached = attempts.call().info().deadlineNanos() - now() <= 0;
    return deadlineReached ? SlotOutcome.FAILED : SlotOutcome.UNUSED;
  }

  private RequestHead head(CallAttempts attempts, TrackedTarget target) {
    Call call = attempts.call();
    return protocol.callHead(call.head(), target.target().id(), remaining(call).toMillis());
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
      log.write(
          EventCode.CALL_ANSWERED,
          attempts,
          "status " + response.status(),
          Optional.of(target),
          now());
      return Mono.just(response);
    }
    target.recordFailure(now());
    String reason =
        authenticatedOrFailure
            ? "target failed, status " + response.status()
            : "unauthenticated response";
    if (attempts.call().info().idempotent()) {
      Response fallback =
          canForward(response, authenticatedOrFailure)
              ? response
              : lostResponse(BAD_GATEWAY, reason);
      return retryOrElse(attempts, reason, target, fallback);
    }
    log.write(EventCode.CALL_FAILED, attempts, reason, Optional.of(target), now());
    return Mono.just(
        canForward(response, authenticatedOrFailure)
            ? response
            : lostResponse(BAD_GATEWAY, reason));
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
    Response fallback = lostResponse(timedOut ? GATEWAY_TIMEOUT : BAD_GATEWAY, error.getMessage());
    boolean mayRetry = attempts.call().info().idempotent() && !timedOut;
    if (mayRetry && !sent.suspected()) {
      return retryOrElse(attempts, error.getMessage(), target, fallback);
    }
    log.write(EventCode.CALL_FAILED, attempts, error.getMessage(), Optional.of(target), now());
    return Mono.just(fallback);
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
      log.write(EventCode.CALL_FAILED, attempts, reason, Optional.of(target), now());
      return Mono.just(fallback);
    }
    return Mono.just(endWithoutResponse(attempts, reason));
  }

  /** Returns the final response to a call that is not sent to any further target. */
  private Response endWithoutResponse(CallAttempts attempts, String reason) {
    EventCode code = attempts.mayHaveRun() ? EventCode.CALL_FAILED : EventCode.CALL_REFUSED;
    log.write(code, attempts, reason, attempts.lastTarget(), now());
    if (attempts.mayHaveRun()) {
      return lostResponse(BAD_GATEWAY, reason);
    }
    return Response.of(Problems.handedBack(HandBackReason.NO_TARGET))
        .withRetryAfter(retryAfter(attempts));
  }

  /**
   * Returns when a caller should retry. A call that is late already returns later, so that it does
   * not take the slots of calls that can still be in time.
   */
  private Duration retryAfter(CallAttempts attempts) {
    boolean late = selector.expectedLate(attempts.placementRequest(), now());
    long lateNanos = (long) (LATE_RETRY_DELAY_FRACTION * remaining(attempts.call()).toNanos());
    return late ? retryAfter().plusNanos(lateNanos) : retryAfter();
  }

  private Duration retryAfter() {
    return Duration.ofMillis(MIN_RETRY_AFTER_MILLIS + random.nextInt(RETRY_AFTER_JITTER_MILLIS));
  }

  private Response deadlineExceeded(CallAttempts attempts) {
    boolean sent = attempts.mayHaveRun();
    log.write(
        sent ? EventCode.CALL_FAILED : EventCode.CALL_REFUSED,
        attempts,
        "time is over",
        attempts.lastTarget(),
        now());
    if (sent) {
      attempts.lastTarget().ifPresent(target -> target.recordFailure(now()));
      return lostResponse(GATEWAY_TIMEOUT, "The target did not respond in time.");
    }
    return Response.of(Problems.handedBack(HandBackReason.TOO_LATE)).withRetryAfter(retryAfter());
  }

  private void logAbandoned(CallAttempts attempts) {
    log.write(
        EventCode.CALL_ABANDONED,
        attempts,
        "the caller disconnected",
        attempts.lastTarget(),
        now());
  }

  private static Response lostResponse(int status, String reason) {
    Problem problem = Problems.responseLost(status, reason);
    return Response.of(problem);
  }

  private Duration remaining(Call call) {
    return Duration.ofNanos(Math.max(1, call.info().deadlineNanos() - now()));
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
