package org.radishpost.direct;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.radishpost.admission.ServiceRetryBudget;
import org.radishpost.config.Configuration;
import org.radishpost.errors.AnswerTimeoutException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.events.EventCode;
import org.radishpost.http.Call;
import org.radishpost.http.CallHandler;
import org.radishpost.http.CallSender;
import org.radishpost.http.Problem;
import org.radishpost.http.Problems;
import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.http.ResponseBuffering;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.Verdict;
import org.radishpost.placement.ColdGate;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.PlacedCall;
import org.radishpost.placement.Placement;
import org.radishpost.placement.SplitPicker;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.placement.TrackedTarget;
import org.radishpost.placement.WorkTimes;
import org.radishpost.pool.HandBackReason;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Sends each call straight to the target that is best placed for it, on load asked for just before.
 *
 * <p>A call is sent again only when it has not run, or when it may be repeated, and only within the
 * route's attempts and this VM's share of the retries. Confined to one thread.
 */
public final class DirectRouter implements CallHandler {
  private static final int MIN_HOLD_MILLIS = 20;
  private static final int HOLD_SPREAD_MILLIS = 30;

  /** The part of a call's time that it may be kept back; the rest is for another entry. */
  private static final double HOLD_PART = 0.5;

  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;
  private static final int TOO_MANY = 429;
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int MIN_RETRY_AFTER_MILLIS = 100;
  private static final int RETRY_AFTER_SPREAD_MILLIS = 300;

  private final Supplier<Configuration> configuration;
  private final TargetDirectory directory;
  private final Placement placement;
  private final ColdGate coldGate;
  private final WorkTimes times;
  private final SplitPicker splits;
  private final LoadProber prober;
  private final TargetProtocol protocol;
  private final CallSender sender;
  private final ServiceRetryBudget retries;
  private final CallLog log;
  private final Scheduler clock;
  private final RandomGenerator random;

  /**
   * Creates a router.
   *
   * @param configuration the configuration in force
   * @param directory the targets
   * @param placement chooses among them
   * @param coldGate told of sends to cold targets
   * @param times how long calls take
   * @param prober asks targets for their load
   * @param protocol how targets are spoken to
   * @param sender sends calls to targets
   * @param retries this VM's share of the retries
   * @param log where lines about calls go
   * @param clock the clock and timers
   * @param random spreads the times at which callers come back
   */
  DirectRouter(
      Supplier<Configuration> configuration,
      TargetDirectory directory,
      Placement placement,
      ColdGate coldGate,
      WorkTimes times,
      LoadProber prober,
      TargetProtocol protocol,
      CallSender sender,
      ServiceRetryBudget retries,
      CallLog log,
      Scheduler clock,
      RandomGenerator random) {
    this.configuration = configuration;
    this.directory = directory;
    this.placement = placement;
    this.coldGate = coldGate;
    this.times = times;
    this.splits = new SplitPicker(random);
    this.prober = prober;
    this.protocol = protocol;
    this.sender = sender;
    this.retries = retries;
    this.log = log;
    this.clock = clock;
    this.random = random;
  }

  @Override
  public Mono<Response> handle(Call call) {
    return Mono.defer(
        () -> {
          ServiceName service = splits.next(call.match().route());
          retries.recordCall(service);
          long holdNanos = (long) (HOLD_PART * left(call).toNanos());
          DirectAttempt attempt = new DirectAttempt(call, service, placed(call), now() + holdNanos);
          return place(attempt)
              .timeout(left(call), Mono.fromSupplier(() -> expired(attempt)), clock)
              .doOnCancel(() -> abandoned(attempt));
        });
  }

  private PlacedCall placed(Call call) {
    long now = now();
    long latency =
        call.match()
            .route()
            .terms()
            .targetLatency()
            .map(wanted -> now + wanted.toNanos())
            .orElse(call.facts().deadlineNanos());
    double kilobytes = Math.max(0, call.facts().bodyBytes()) / 1000.0 + 1;
    return new PlacedCall(
        call.facts().route(),
        Math.min(latency, call.facts().deadlineNanos()),
        call.facts().deadlineNanos(),
        kilobytes);
  }

  private Mono<Response> place(DirectAttempt attempt) {
    List<TrackedTarget> candidates = candidates(attempt);
    return ask(placement.toAsk(candidates, now())).then(Mono.defer(() -> choose(attempt)));
  }

  private Mono<Void> ask(List<TrackedTarget> targets) {
    return prober.ask(
        targets, target -> placement.ideal(target, now()), placement.askWait(targets));
  }

  private List<TrackedTarget> candidates(DirectAttempt attempt) {
    List<TrackedTarget> found = directory.serving(attempt.service(), attempt.tried());
    Configuration inForce = configuration.get();
    found.removeIf(
        tracked ->
            !attempt.call().facts().allows(tracked.target().place().region())
                || !inForce.inService(tracked.target().place()));
    return found;
  }

  private Mono<Response> choose(DirectAttempt attempt) {
    Optional<Placement.Choice> choice =
        placement.choose(candidates(attempt), attempt.placed(), now());
    if (choice.isEmpty()) {
      return Mono.just(stop(attempt, "no target in service"));
    }
    if (placement.poor(choice.get()) && attempt.looksFar()) {
      return ask(placement.toAskFar(candidates(attempt), now()))
          .then(Mono.defer(() -> choose(attempt)));
    }
    if (choice.get().full()) {
      return hold(attempt, choice.get());
    }
    return hedged(attempt, choice.get());
  }

  /** Keeps a call back while all targets are full, as long as its answer can still be in time. */
  private Mono<Response> hold(DirectAttempt attempt, Placement.Choice choice) {
    long leftNanos = attempt.call().facts().deadlineNanos() - now();
    if (now() - attempt.holdUntilNanos() >= 0 || choice.expectedNanos() > leftNanos) {
      return Mono.just(stop(attempt, "all targets are full"));
    }
    Duration pause = Duration.ofMillis(MIN_HOLD_MILLIS + random.nextInt(HOLD_SPREAD_MILLIS));
    return Mono.delay(pause, clock).then(Mono.defer(() -> place(attempt)));
  }

  /** Sends a call, and once more to another target if it may be repeated and takes too long. */
  private Mono<Response> hedged(DirectAttempt attempt, Placement.Choice choice) {
    Mono<Response> first = send(attempt, choice.target());
    if (!attempt.call().facts().idempotent() || !attempt.mayGoOn()) {
      return first;
    }
    Duration delay = Duration.ofNanos(placement.hedgeDelayNanos(attempt.placed(), now()));
    Mono<Response> second = Mono.defer(() -> hedge(attempt, choice.target()));
    return ReplyRace.of(
        first, Mono.delay(delay, clock), second, DirectRouter::succeeded, DirectRouter::better);
  }

  private Mono<Response> hedge(DirectAttempt attempt, TrackedTarget slow) {
    Optional<Placement.Choice> choice =
        placement.choose(candidates(attempt), attempt.placed(), now());
    boolean useful = choice.isPresent() && placement.inTime(choice.get(), attempt.placed(), now());
    if (!useful || !attempt.mayGoOn() || !retries.tryAcquire(attempt.service())) {
      return Mono.empty();
    }
    log.write(EventCode.CALL_HEDGED, attempt.call(), "no answer yet", Optional.of(slow), now());
    return send(attempt, choice.get().target());
  }

  private static boolean succeeded(Response reply) {
    return reply.refusalVerdict().isEmpty() && reply.status() < SERVER_ERROR;
  }

  /** Returns the better of two answers; one that tells of a run goes before a refusal. */
  private static Response better(Response first, Response second) {
    boolean secondTellsMore =
        succeeded(second) || first.refusalVerdict().filter(Verdict.NOT_RUN::equals).isPresent();
    return secondTellsMore ? second : first;
  }

  private Mono<Response> send(DirectAttempt attempt, TrackedTarget target) {
    if (attempt.call().facts().deadlineNanos() - now() <= 0) {
      return Mono.just(expired(attempt));
    }
    attempt.sentTo(target);
    target.sent();
    coldGate.sent(target, now());
    attempt.call().body().allowRemainder();
    long start = now();
    int pace = pacePercent(target);
    return sender
        .send(
            target.target().address(),
            head(attempt, target),
            attempt.call().body(),
            left(attempt.call()))
        .flatMap(ResponseBuffering::bufferIfSmall)
        .doFinally(signal -> target.ended())
        .flatMap(reply -> answered(attempt, target, reply, now() - start, pace))
        .onErrorResume(error -> failed(attempt, target, error));
  }

  private RequestHead head(DirectAttempt attempt, TrackedTarget target) {
    Call call = attempt.call();
    return protocol.call(call.head(), target.target().id(), left(call).toMillis());
  }

  private static int pacePercent(TrackedTarget target) {
    return target.lastSample().map(LoadSample::pacePercent).orElse(LoadSample.USUAL_PACE_PERCENT);
  }

  private Mono<Response> answered(
      DirectAttempt attempt, TrackedTarget target, Response reply, long tookNanos, int pace) {
    AnswerFacts facts = protocol.read(reply);
    facts.load().ifPresent(load -> target.sampled(load, now()));
    if (facts.notRun()) {
      attempt.notRun();
      return again(attempt, "target did not run it, status " + reply.status(), target);
    }
    attempt.endedUnknown();
    boolean failure = reply.status() >= SERVER_ERROR || reply.status() == TOO_MANY;
    boolean whole = failure || facts.genuine();
    if (!failure && whole) {
      target.succeeded();
      times.answered(attempt.placed().route(), tookNanos, pace);
      log.write(
          EventCode.CALL_ANSWERED,
          attempt.call(),
          "status " + reply.status(),
          Optional.of(target),
          now());
      return Mono.just(reply);
    }
    target.failed(now());
    String why = whole ? "target failed, status " + reply.status() : "answer without its proof";
    if (attempt.call().facts().idempotent()) {
      Response otherwise = passable(reply, whole) ? reply : lost(BAD_GATEWAY, why);
      return againOr(attempt, why, target, otherwise);
    }
    log.write(EventCode.CALL_FAILED, attempt.call(), why, Optional.of(target), now());
    return Mono.just(passable(reply, whole) ? reply : lost(BAD_GATEWAY, why));
  }

  /** Tells whether a failed answer may go to the caller: it must not promise not to have run. */
  private static boolean passable(Response reply, boolean whole) {
    return whole && reply.status() != UNAVAILABLE && reply.status() != TOO_MANY;
  }

  private Mono<Response> failed(DirectAttempt attempt, TrackedTarget target, Throwable error) {
    if (error instanceof NotConnectedException) {
      attempt.notReached();
      target.unreachable(now());
      return again(attempt, error.getMessage(), target);
    }
    attempt.endedUnknown();
    target.failed(now());
    boolean late = error instanceof AnswerTimeoutException;
    Response otherwise = lost(late ? GATEWAY_TIMEOUT : BAD_GATEWAY, error.getMessage());
    if (attempt.call().facts().idempotent() && !late) {
      return againOr(attempt, error.getMessage(), target, otherwise);
    }
    log.write(
        EventCode.CALL_FAILED, attempt.call(), error.getMessage(), Optional.of(target), now());
    return Mono.just(otherwise);
  }

  private Mono<Response> again(DirectAttempt attempt, String why, TrackedTarget target) {
    return againOr(attempt, why, target, null);
  }

  private Mono<Response> againOr(
      DirectAttempt attempt, String why, TrackedTarget target, Response otherwise) {
    boolean arrived = attempt.arrivals() > 0;
    boolean possible = attempt.call().body().canReroute() && !candidates(attempt).isEmpty();
    if (attempt.mayGoOn() && possible && (!arrived || retries.tryAcquire(attempt.service()))) {
      log.write(EventCode.CALL_RESENT, attempt.call(), why, Optional.of(target), now());
      return place(attempt);
    }
    if (otherwise != null) {
      log.write(EventCode.CALL_FAILED, attempt.call(), why, Optional.of(target), now());
      return Mono.just(otherwise);
    }
    return Mono.just(stop(attempt, why));
  }

  /** Returns the last answer to a call that goes nowhere any more. */
  private Response stop(DirectAttempt attempt, String why) {
    EventCode code = attempt.mayHaveRun() ? EventCode.CALL_FAILED : EventCode.CALL_REFUSED;
    log.write(code, attempt.call(), why, attempt.last(), now());
    if (attempt.mayHaveRun()) {
      return lost(BAD_GATEWAY, why);
    }
    return Response.of(Problems.handedBack(HandBackReason.NO_TARGET)).withRetryAfter(retryAfter());
  }

  private Duration retryAfter() {
    return Duration.ofMillis(MIN_RETRY_AFTER_MILLIS + random.nextInt(RETRY_AFTER_SPREAD_MILLIS));
  }

  private Response expired(DirectAttempt attempt) {
    boolean sent = attempt.mayHaveRun();
    log.write(
        sent ? EventCode.CALL_FAILED : EventCode.CALL_REFUSED,
        attempt.call(),
        "time is over",
        attempt.last(),
        now());
    if (sent) {
      attempt.last().ifPresent(target -> target.failed(now()));
      return lost(GATEWAY_TIMEOUT, "No answer came in time.");
    }
    return Response.of(Problems.handedBack(HandBackReason.TOO_LATE)).withRetryAfter(retryAfter());
  }

  private void abandoned(DirectAttempt attempt) {
    log.write(EventCode.CALL_ABANDONED, attempt.call(), "the caller left", attempt.last(), now());
  }

  private static Response lost(int status, String why) {
    Problem problem = Problems.responseLost(status, why);
    return Response.of(problem);
  }

  private Duration left(Call call) {
    return Duration.ofNanos(Math.max(1, call.facts().deadlineNanos() - now()));
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
