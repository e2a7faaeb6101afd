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
  private static final Duration QUESTION_LIMIT = Duration.ofMillis(400);
  private static final CallBody NO_BODY = CallBody.buffered(new byte[0]);

  private final CallSender sender;
  private final TargetProtocol protocol;
  private final Scheduler clock;
  private final EventSink events;
  private final Map<TargetId, Sinks.One<TrackedTarget>> asked = new HashMap<>();

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
   * @param wait the longest wait; answers that come later are still taken
   * @return ends when the wait is over
   */
  public Mono<Void> ask(
      List<TrackedTarget> targets, Predicate<TrackedTarget> enough, Duration wait) {
    if (targets.isEmpty()) {
      return Mono.empty();
    }
    List<Mono<TrackedTarget>> answers = targets.stream().map(this::ask).toList();
    return Flux.merge(answers).takeUntil(enough).take(wait, clock).then();
  }

  private Mono<TrackedTarget> ask(TrackedTarget target) {
    TargetId id = target.target().id();
    Sinks.One<TrackedTarget> running = asked.get(id);
    if (running != null) {
      return running.asMono();
    }
    Sinks.One<TrackedTarget> answer = Sinks.one();
    asked.put(id, answer);
    Target entry = target.target();
    sender
        .send(entry.address(), protocol.status(entry.service()), NO_BODY, QUESTION_LIMIT)
        .flatMap(reply -> reply.body().doOnNext(ByteBuf::release).then(Mono.just(reply)))
        .subscribe(
            reply -> answered(target, reply, answer), error -> failed(target, error, answer));
    return answer.asMono();
  }

  private void answered(TrackedTarget target, Response reply, Sinks.One<TrackedTarget> answer) {
    AnswerFacts facts = protocol.read(reply);
    boolean another =
        facts.answeredBy().isPresent() && !facts.answeredBy().get().equals(target.target().id());
    long now = now();
    if (another || reply.status() != OK) {
      pause(target, another ? "another target answers" : "status " + reply.status());
    } else {
      facts.coldLeft().ifPresent(left -> target.reportedCold(left, now));
      facts.load().ifPresent(load -> target.sampled(load, now));
    }
    end(target, answer);
  }

  private void failed(TrackedTarget target, Throwable error, Sinks.One<TrackedTarget> answer) {
    pause(target, error.getMessage());
    end(target, answer);
  }

  private void pause(TrackedTarget target, String why) {
    boolean before = target.suspended(now());
    target.unreachable(now());
    if (!before) {
      events.emit(
          EventCode.TARGET_PAUSED,
          EventField.of("target", target.target().id()),
          EventField.of("why", why));
    }
  }

  private void end(TrackedTarget target, Sinks.One<TrackedTarget> answer) {
    asked.remove(target.target().id(), answer);
    answer.tryEmitValue(target);
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
