package org.radishpost.direct;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.radishpost.events.EventCode;
import org.radishpost.http.Problems;
import org.radishpost.http.Response;
import org.radishpost.placement.TargetSelector;
import org.radishpost.placement.TrackedTarget;
import org.radishpost.pool.HandBackReason;
import reactor.core.scheduler.Scheduler;

/**
 * Logs and returns the final responses to calls that are not sent to any further target.
 *
 * <p>A call that a target may have run is never refused as not run; its response is lost instead.
 * Confined to one thread.
 */
final class FinalResponses {
  private static final int BAD_GATEWAY = 502;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int MIN_RETRY_AFTER_MILLIS = 100;
  private static final int RETRY_AFTER_JITTER_MILLIS = 300;

  /** Additional {@code Retry-After} of a late call as a fraction of its remaining time. */
  private static final double LATE_RETRY_DELAY_FRACTION = 0.3;

  private final TargetSelector selector;
  private final CallLog log;
  private final Scheduler clock;
  private final RandomGenerator random;

  /**
   * Creates the final responses.
   *
   * @param selector decides whether a call is late
   * @param log receives a line for each final response
   * @param clock provides the time
   * @param random the source of jitter for {@code Retry-After}
   */
  FinalResponses(TargetSelector selector, CallLog log, Scheduler clock, RandomGenerator random) {
    this.selector = selector;
    this.log = log;
    this.clock = clock;
    this.random = random;
  }

  /** Returns the successful response of a target. */
  Response succeeded(CallAttempts attempts, TrackedTarget target, Response response) {
    String reason = "status " + response.status();
    log.write(EventCode.CALL_ANSWERED, attempts, reason, Optional.of(target), now());
    return response;
  }

  /** Returns the response to a call whose last attempt failed for the given reason. */
  Response failed(CallAttempts attempts, TrackedTarget target, String reason, Response response) {
    log.write(EventCode.CALL_FAILED, attempts, reason, Optional.of(target), now());
    return response;
  }

  /** Returns the response to a call for which there is neither a response nor another target. */
  Response withoutResponse(CallAttempts attempts, String reason) {
    EventCode code = attempts.mayHaveRun() ? EventCode.CALL_FAILED : EventCode.CALL_REFUSED;
    log.write(code, attempts, reason, attempts.lastTarget(), now());
    if (attempts.mayHaveRun()) {
      return lost(reason);
    }
    return Response.of(Problems.handedBack(HandBackReason.NO_TARGET))
        .withRetryAfter(retryAfter(attempts));
  }

  /**
   * Returns the response to a call that has crashed its targets. It may have been sent before, to a
   * target that has not responded.
   */
  Response blocked(CallAttempts attempts, Duration duration) {
    String reason = "targets crashed, fingerprint " + attempts.fingerprint().shortHex();
    log.write(EventCode.SUSPECT_REFUSED, attempts, reason, attempts.lastTarget(), now());
    if (attempts.mayHaveRun()) {
      return lost("Targets have crashed while they ran this request.");
    }
    return Response.of(Problems.handedBack(HandBackReason.SUSPECT)).withRetryAfter(duration);
  }

  /** Returns the response to a call whose deadline has passed. */
  Response deadlineExceeded(CallAttempts attempts) {
    boolean sent = attempts.mayHaveRun();
    EventCode code = sent ? EventCode.CALL_FAILED : EventCode.CALL_REFUSED;
    log.write(code, attempts, "time is over", attempts.lastTarget(), now());
    if (sent) {
      attempts.lastTarget().ifPresent(target -> target.recordFailure(now()));
      return timedOut("The target did not respond in time.");
    }
    return Response.of(Problems.handedBack(HandBackReason.TOO_LATE)).withRetryAfter(retryAfter());
  }

  /** Returns the response to a call that a target may have run without a usable response. */
  static Response lost(String reason) {
    return Response.of(Problems.responseLost(BAD_GATEWAY, reason));
  }

  /** Returns the response to a call that a target did not respond to in time. */
  static Response timedOut(String reason) {
    return Response.of(Problems.responseLost(GATEWAY_TIMEOUT, reason));
  }

  /**
   * Returns when a caller should retry. A call that is late already returns later, so that it does
   * not take the slots of calls that can still be in time.
   */
  private Duration retryAfter(CallAttempts attempts) {
    boolean late = selector.expectedLate(attempts.placementRequest(), now());
    long lateNanos = (long) (LATE_RETRY_DELAY_FRACTION * attempts.remaining(now()).toNanos());
    return late ? retryAfter().plusNanos(lateNanos) : retryAfter();
  }

  private Duration retryAfter() {
    return Duration.ofMillis(MIN_RETRY_AFTER_MILLIS + random.nextInt(RETRY_AFTER_JITTER_MILLIS));
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
