package org.radishpost.direct;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.radishpost.admission.ServiceBudget;
import org.radishpost.events.EventCode;
import org.radishpost.http.Response;
import org.radishpost.lib.Verdict;
import org.radishpost.placement.TargetSelector;
import org.radishpost.placement.TrackedTarget;
import org.radishpost.slots.SlotOutcome;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Hedges idempotent calls: sends a call to a second target if the first one takes too long to
 * respond. Confined to one thread.
 */
final class CallHedger {
  private static final int SERVER_ERROR = 500;

  private final TargetChooser chooser;
  private final TargetSelector selector;
  private final ServiceBudget retryBudget;
  private final CrashGuard crashGuard;
  private final CallLog log;
  private final Scheduler clock;

  /**
   * Creates a hedger.
   *
   * @param chooser chooses the second target
   * @param selector decides when a call is hedged
   * @param retryBudget the retry budget of this VM
   * @param crashGuard knows whether a call may crash targets; such a call is not hedged
   * @param log receives a line for each hedged call
   * @param clock provides time and timers
   */
  CallHedger(
      TargetChooser chooser,
      TargetSelector selector,
      ServiceBudget retryBudget,
      CrashGuard crashGuard,
      CallLog log,
      Scheduler clock) {
    this.chooser = chooser;
    this.selector = selector;
    this.retryBudget = retryBudget;
    this.crashGuard = crashGuard;
    this.log = log;
    this.clock = clock;
  }

  /**
   * Returns the response to a call, which is sent again if it is idempotent and the response takes
   * too long.
   *
   * @param attempts the state of the call, which was just sent
   * @param firstTarget the target that it was sent to
   * @param first the response to it
   * @param send sends the call to another target
   */
  Mono<Response> hedge(
      CallAttempts attempts,
      TrackedTarget firstTarget,
      Mono<Response> first,
      Function<TargetChoice.Chosen, Mono<Response>> send) {
    if (!attempts.call().info().idempotent()
        || !attempts.hasAttemptsLeft()
        || crashGuard.isSuspected(attempts)) {
      return first;
    }
    Duration delay = Duration.ofNanos(selector.hedgeDelayNanos(attempts.placementRequest(), now()));
    Mono<Response> second = Mono.defer(() -> sendSecond(attempts, firstTarget, send));
    return HedgedRequest.of(
        first, Mono.delay(delay, clock), second, CallHedger::succeeded, CallHedger::preferred);
  }

  private Mono<Response> sendSecond(
      CallAttempts attempts,
      TrackedTarget firstTarget,
      Function<TargetChoice.Chosen, Mono<Response>> send) {
    if (!attempts.hasAttemptsLeft()) {
      return Mono.empty();
    }
    return chooser
        .chooseForHedge(attempts)
        .ofType(TargetChoice.Chosen.class)
        .filter(chosen -> mayHedge(attempts, firstTarget, chosen))
        .flatMap(send);
  }

  /** Returns whether the retry budget allows a second attempt; returns its slot if not. */
  private boolean mayHedge(
      CallAttempts attempts, TrackedTarget firstTarget, TargetChoice.Chosen chosen) {
    if (!retryBudget.tryAcquire(attempts.service())) {
      chosen.slot().release(SlotOutcome.UNUSED, Duration.ZERO, Optional.empty());
      return false;
    }
    log.write(EventCode.CALL_HEDGED, attempts, "no response yet", Optional.of(firstTarget), now());
    return true;
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

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
