package org.radishpost.direct;

import java.time.Duration;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.http.CallBody;
import org.radishpost.http.CallSender;
import org.radishpost.http.Response;
import org.radishpost.placement.Target;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/** Checks whether the process of a target is still there. Confined to one thread. */
final class LivenessCheck {
  private static final CallBody NO_BODY = CallBody.buffered(new byte[0]);
  private static final Duration TIMEOUT = Duration.ofMillis(500);
  private static final int MAX_REPEATS = 2;
  private static final Duration REPEAT_DELAY = Duration.ofMillis(100);

  private final CallSender sender;
  private final TargetProtocol protocol;
  private final Scheduler clock;

  /**
   * Creates a check.
   *
   * @param sender sends the status checks
   * @param protocol builds status checks and parses their responses
   * @param clock provides timers
   */
  LivenessCheck(CallSender sender, TargetProtocol protocol, Scheduler clock) {
    this.sender = sender;
    this.protocol = protocol;
    this.clock = clock;
  }

  /**
   * Checks a target, again if the result is unknown: a connection of the sender that died with the
   * target may be used before its end is noticed.
   */
  Mono<TargetLiveness> of(Target target) {
    return once(target)
        .filter(liveness -> liveness != TargetLiveness.UNKNOWN)
        .repeatWhenEmpty(
            MAX_REPEATS, rounds -> rounds.concatMap(round -> Mono.delay(REPEAT_DELAY, clock)))
        .onErrorReturn(TargetLiveness.UNKNOWN)
        .defaultIfEmpty(TargetLiveness.UNKNOWN);
  }

  private Mono<TargetLiveness> once(Target target) {
    return Mono.defer(
            () ->
                sender.send(
                    target.address(), protocol.probeHead(target.service()), NO_BODY, TIMEOUT))
        .flatMap(response -> response.discardBody(TargetProtocol.MAX_PROBE_RESPONSE_BYTES))
        .timeout(TIMEOUT, clock)
        .map(response -> fromResponse(target, response))
        .onErrorResume(error -> Mono.just(fromError(error)));
  }

  private TargetLiveness fromResponse(Target target, Response response) {
    boolean otherProcess =
        protocol.parse(response).responder().filter(id -> !id.equals(target.id())).isPresent();
    return otherProcess ? TargetLiveness.GONE : TargetLiveness.ALIVE;
  }

  private static TargetLiveness fromError(Throwable error) {
    return error instanceof NotConnectedException ? TargetLiveness.GONE : TargetLiveness.UNKNOWN;
  }
}
