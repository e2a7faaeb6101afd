package org.radishpost.direct;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.http.CallBody;
import org.radishpost.http.CallSender;
import org.radishpost.http.Response;
import org.radishpost.placement.Target;
import org.radishpost.placement.TargetId;
import org.radishpost.placement.TrackedTarget;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * Asks targets for their load.
 *
 * <p>Calls that want the same target's load at the same time share one question. Confined to one
 * thread.
 */
public final class LoadProber {
  private static final int OK = 200;
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(400);
  private static final CallBody NO_BODY = CallBody.buffered(new byte[0]);

  private final CallSender sender;
  private final TargetProtocol protocol;
  private final Scheduler clock;
  private final EventSink events;
  private final Map<TargetId, Sinks.One<TrackedTarget>> pendingProbes = new HashMap<>();

  /**
   * Creates it.
   *
   * @param sender sends questions to targets
   * @param protocol how targets are spoken to
   * @param clock the clock and timers
   * @param events where events go
   */
  public LoadProber(CallSender sender, TargetProtocol protocol, Scheduler clock, EventSink events) {
    this.sender = sender;
    this.protocol = protocol;
    this.clock = clock;
    this.events = events;
  }

  /**
   * Asks targets and waits for their answers.
   *
   * @param targets whom to ask
   * @param enough tells of a target that has answered whether the others need not be awaited
   * @param maxWait the longest wait; answers that come later are still taken
   * @return ends when the wait is over
   */
  public Mono<Void> probe(
      List<TrackedTarget> targets, Predicate<TrackedTarget> enough, Duration maxWait) {
    if (targets.isEmpty()) {
      return Mono.empty();
    }
    List<Mono<TrackedTarget>> probes = targets.stream().map(this::probe).toList();
    return Flux.merge(probes).takeUntil(enough).take(maxWait, clock).then();
  }

  private Mono<TrackedTarget> probe(TrackedTarget target) {
    TargetId id = target.target().id();
    Sinks.One<TrackedTarget> pending = pendingProbes.get(id);
    if (pending != null) {
      return pending.asMono();
    }
    Sinks.One<TrackedTarget> result = Sinks.one();
    pendingProbes.put(id, result);
    Target entry = target.target();
    sender
        .send(entry.address(), protocol.probeHead(entry.service()), NO_BODY, PROBE_TIMEOUT)
        .flatMap(reply -> reply.body().doOnNext(ByteBuf::release).then(Mono.just(reply)))
        .subscribe(
            reply -> handleResponse(target, reply, result),
            error -> handleError(target, error, result));
    return result.asMono();
  }

  private void handleResponse(
      TrackedTarget target, Response reply, Sinks.One<TrackedTarget> result) {
    TargetResponseInfo info = protocol.parse(reply);
    boolean fromOtherTarget =
        info.responder().isPresent() && !info.responder().get().equals(target.target().id());
    long now = now();
    if (fromOtherTarget || reply.status() != OK) {
      suspend(target, fromOtherTarget ? "another target answers" : "status " + reply.status());
    } else {
      info.coldRemaining().ifPresent(remaining -> target.updateColdRemaining(remaining, now));
      info.load().ifPresent(load -> target.recordSample(load, now));
    }
    complete(target, result);
  }

  private void handleError(TrackedTarget target, Throwable error, Sinks.One<TrackedTarget> result) {
    suspend(target, error.getMessage());
    complete(target, result);
  }

  private void suspend(TrackedTarget target, String reason) {
    boolean wasSuspended = target.suspended(now());
    target.recordUnreachable(now());
    if (!wasSuspended) {
      events.emit(
          EventCode.TARGET_PAUSED,
          EventField.of("target", target.target().id()),
          EventField.of("why", reason));
    }
  }

  private void complete(TrackedTarget target, Sinks.One<TrackedTarget> result) {
    pendingProbes.remove(target.target().id(), result);
    result.tryEmitValue(target);
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
