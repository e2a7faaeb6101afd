package org.radishpost.direct;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.radishpost.http.CallSender;
import org.radishpost.http.Exchange;
import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.http.ResponseBuffering;
import org.radishpost.placement.ColdTargetLimiter;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TrackedTarget;
import org.radishpost.slots.SlotOutcome;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Sends an attempt of a call to its target. Confined to one thread. */
final class AttemptSender {
  private final ColdTargetLimiter coldTargetLimiter;
  private final TargetProtocol protocol;
  private final CallSender sender;
  private final ResponseBuffering buffering;
  private final CrashGuard crashGuard;
  private final Scheduler clock;

  /**
   * Creates a sender of attempts.
   *
   * @param coldTargetLimiter limits the calls to cold targets; notified of each attempt
   * @param protocol builds requests for targets
   * @param sender sends calls to targets
   * @param buffering keeps small responses in memory until they are complete
   * @param crashGuard knows whether a call may crash targets
   * @param clock provides the time
   */
  AttemptSender(
      ColdTargetLimiter coldTargetLimiter,
      TargetProtocol protocol,
      CallSender sender,
      ResponseBuffering buffering,
      CrashGuard crashGuard,
      Scheduler clock) {
    this.coldTargetLimiter = coldTargetLimiter;
    this.protocol = protocol;
    this.sender = sender;
    this.buffering = buffering;
    this.crashGuard = crashGuard;
    this.clock = clock;
  }

  /** Records that the call is sent to the chosen target; {@link #send} must follow at once. */
  SentCall start(CallAttempts attempts, TargetChoice.Chosen chosen) {
    TrackedTarget target = chosen.target();
    attempts.recordSend(target, now());
    target.recordSend();
    coldTargetLimiter.recordSend(target, now());
    attempts.call().body().allowRemainder();
    return new SentCall(
        target,
        chosen.slot(),
        now(),
        slowdownPercent(target),
        crashGuard.isSuspected(attempts),
        new Exchange());
  }

  /**
   * Sends a started attempt.
   *
   * @return the response of the target; the slot is not returned unless the attempt is cancelled
   */
  Mono<Response> send(CallAttempts attempts, SentCall sent) {
    TrackedTarget target = sent.target();
    attempts.recordExchange(sent.exchange());
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
        .doOnCancel(() -> releaseCancelled(attempts, sent));
  }

  private RequestHead head(CallAttempts attempts, TrackedTarget target) {
    long remainingMillis = attempts.remaining(now()).toMillis();
    return protocol.callHead(attempts.call().head(), target.target().id(), remainingMillis);
  }

  /** Returns the slot; a call cancelled at its deadline was not answered by its target. */
  private void releaseCancelled(CallAttempts attempts, SentCall sent) {
    SlotOutcome outcome = attempts.deadlineReached(now()) ? SlotOutcome.FAILED : SlotOutcome.UNUSED;
    sent.releaseSlot(outcome, Optional.empty(), now());
  }

  private static int slowdownPercent(TrackedTarget target) {
    return target
        .lastSample()
        .map(LoadSample::slowdownPercent)
        .orElse(LoadSample.NO_SLOWDOWN_PERCENT);
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
