package org.radishpost.direct;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.errors.ResponseTimeoutException;
import org.radishpost.http.NotRunStatus;
import org.radishpost.http.Response;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.RouteServiceTimes;
import org.radishpost.placement.TrackedTarget;
import org.radishpost.slots.SlotOutcome;
import reactor.core.scheduler.Scheduler;

/**
 * Evaluates the response or error of an attempt and records what it says of the call and of its
 * target.
 *
 * <p>Returns the slot of the attempt before its result is acted on, because a retry needs another
 * slot. Confined to one thread.
 */
final class AttemptEvaluator {
  private static final int SERVER_ERROR = 500;

  private final TargetProtocol protocol;
  private final RouteServiceTimes serviceTimes;
  private final CrashGuard crashGuard;
  private final Scheduler clock;

  /**
   * Creates an evaluator.
   *
   * @param protocol parses the responses of targets
   * @param serviceTimes the mean service times of the routes; updated from responses
   * @param crashGuard notified of complete responses and lost connections
   * @param clock provides the time
   */
  AttemptEvaluator(
      TargetProtocol protocol,
      RouteServiceTimes serviceTimes,
      CrashGuard crashGuard,
      Scheduler clock) {
    this.protocol = protocol;
    this.serviceTimes = serviceTimes;
    this.crashGuard = crashGuard;
    this.clock = clock;
  }

  /** Evaluates the response of a target. */
  AttemptResult evaluateResponse(CallAttempts attempts, SentCall sent, Response response) {
    TargetResponseInfo info = protocol.parse(response);
    info.currentLoad().ifPresent(load -> sent.target().recordSample(load, now()));
    if (info.notRun()) {
      release(sent, SlotOutcome.NOT_RUN, info.currentLoad());
      attempts.recordNotRun();
      return new AttemptResult.Retryable(
          "target did not run the call, status " + response.status(), Optional.empty());
    }
    attempts.recordPossiblyRun();
    if (info.authenticated()) {
      crashGuard.recordResponse(attempts);
    }
    boolean success = info.authenticated() && !isFailure(response);
    release(sent, success ? SlotOutcome.SUCCEEDED : SlotOutcome.FAILED, info.currentLoad());
    return success ? succeeded(attempts, sent, response) : failed(attempts, sent, response);
  }

  private AttemptResult succeeded(CallAttempts attempts, SentCall sent, Response response) {
    sent.target().recordSuccess();
    serviceTimes.record(
        attempts.placementRequest().route(), now() - sent.startNanos(), sent.slowdownPercent());
    return new AttemptResult.Succeeded(response);
  }

  private AttemptResult failed(CallAttempts attempts, SentCall sent, Response response) {
    sent.target().recordFailure(now());
    String reason =
        isFailure(response)
            ? "target failed, status " + response.status()
            : "unauthenticated response";
    Response forwarded = canForward(response) ? response : withhold(response, reason);
    return attempts.call().info().idempotent()
        ? new AttemptResult.Retryable(reason, Optional.of(forwarded))
        : new AttemptResult.Failed(reason, forwarded);
  }

  /**
   * Returns whether a target that ran a call reports with the status that the call failed. A status
   * that means "not run" says nothing else of a call that did run.
   */
  private static boolean isFailure(Response response) {
    return response.status() >= SERVER_ERROR || NotRunStatus.includes(response.status());
  }

  /**
   * Returns whether a response that is not successful may be forwarded to the caller: only a
   * failure may be unauthenticated, and none may state that the call did not run.
   */
  private static boolean canForward(Response response) {
    return isFailure(response) && !NotRunStatus.includes(response.status());
  }

  /** Returns the response in place of one that is not forwarded, whose connection is freed. */
  private static Response withhold(Response response, String reason) {
    response.dropUnread();
    return FinalResponses.lost(reason);
  }

  /** Evaluates an error that ended an attempt before its response was complete. */
  AttemptResult evaluateError(CallAttempts attempts, SentCall sent, Throwable error) {
    TrackedTarget target = sent.target();
    if (error instanceof NotConnectedException) {
      release(sent, SlotOutcome.UNREACHABLE, Optional.empty());
      attempts.recordNotConnected();
      target.recordUnreachable(now());
      return new AttemptResult.Retryable(error.getMessage(), Optional.empty());
    }
    release(sent, SlotOutcome.FAILED, Optional.empty());
    attempts.recordPossiblyRun();
    target.recordFailure(now());
    if (error instanceof ConnectionLostException) {
      crashGuard.recordConnectionLost(attempts, target, sent.startNanos());
    }
    if (error instanceof ResponseTimeoutException) {
      return new AttemptResult.Failed(
          error.getMessage(), FinalResponses.timedOut(error.getMessage()));
    }
    Response lost = FinalResponses.lost(error.getMessage());
    boolean mayRetry = attempts.call().info().idempotent() && !sent.suspected();
    return mayRetry
        ? new AttemptResult.Retryable(error.getMessage(), Optional.of(lost))
        : new AttemptResult.Failed(error.getMessage(), lost);
  }

  private void release(SentCall sent, SlotOutcome outcome, Optional<LoadSample> load) {
    sent.releaseSlot(outcome, load, now());
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
