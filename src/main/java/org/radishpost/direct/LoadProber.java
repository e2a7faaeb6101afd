package org.radishpost.direct;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.radishpost.admission.ServiceBudget;
import org.radishpost.errors.ResponseTimeoutException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.http.CallBody;
import org.radishpost.http.CallSender;
import org.radishpost.http.Response;
import org.radishpost.lib.ServiceName;
import org.radishpost.placement.Target;
import org.radishpost.placement.TargetId;
import org.radishpost.placement.TrackedTarget;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * Probes targets for their load.
 *
 * <p>Concurrent calls share one pending probe per target. The number of probes per call is limited,
 * because a probe takes time of its target: a full target must not receive more of them. Confined
 * to one thread.
 */
public final class LoadProber {
  private static final int OK = 200;

  /** Long enough for a probe that waits for a slot of a full target. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(1_000);

  private static final CallBody NO_BODY = CallBody.buffered(new byte[0]);

  private final CallSender sender;
  private final TargetProtocol protocol;
  private final Scheduler clock;
  private final ServiceBudget budget;
  private final EventSink events;
  private final Map<TargetId, Sinks.One<TrackedTarget>> pendingProbes = new HashMap<>();

  /**
   * Creates a prober without pending probes.
   *
   * @param sender sends the probes
   * @param protocol builds probes and parses their responses
   * @param clock provides time and timers
   * @param budget limits the probes per call
   * @param events receives an event when a probe suspends a target
   */
  public LoadProber(
      CallSender sender,
      TargetProtocol protocol,
      Scheduler clock,
      ServiceBudget budget,
      EventSink events) {
    this.sender = sender;
    this.protocol = protocol;
    this.clock = clock;
    this.budget = budget;
    this.events = events;
  }

  /** Records a call to the service, which allows further probes of its targets. */
  public void recordCall(ServiceName service) {
    budget.recordCall(service);
  }

  /**
   * Probes targets and waits for their responses. Leaves out targets that exceed the budget.
   *
   * @param targets the targets to probe
   * @param enough returns whether the load of a target makes it unnecessary to await the others
   * @param maxWait the maximum wait; responses that arrive later are still processed
   * @return a publisher that completes at the end of the wait
   */
  public Mono<Void> probe(
      List<TrackedTarget> targets, Predicate<TrackedTarget> enough, Duration maxWait) {
    List<Mono<TrackedTarget>> probes =
        targets.stream().filter(this::tryStart).map(this::probe).toList();
    if (probes.isEmpty()) {
      return Mono.empty();
    }
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
    target.recordProbeSent(now());
    Target entry = target.target();
    sender
        .send(entry.address(), protocol.probeHead(entry.service()), NO_BODY, PROBE_TIMEOUT)
        .flatMap(response -> response.discardBody(TargetProtocol.MAX_PROBE_RESPONSE_BYTES))
        .timeout(PROBE_TIMEOUT, Mono.error(() -> endlessResponse(entry)), clock)
        .subscribe(
            response -> handleResponse(target, response, result),
            error -> handleError(target, error, result));
    return result.asMono();
  }

  private boolean tryStart(TrackedTarget target) {
    return pendingProbes.containsKey(target.target().id())
        || budget.tryAcquire(target.target().service());
  }

  private static ResponseTimeoutException endlessResponse(Target target) {
    return new ResponseTimeoutException(
        "The response of " + target.address() + " to a probe did not end: check its program.");
  }

  private void handleResponse(
      TrackedTarget target, Response response, Sinks.One<TrackedTarget> result) {
    TargetResponseInfo info = protocol.parse(response);
    boolean fromOtherTarget =
        info.responder().isPresent() && !info.responder().get().equals(target.target().id());
    long now = now();
    if (fromOtherTarget || response.status() != OK) {
      suspend(
          target, fromOtherTarget ? "response from another target" : "status " + response.status());
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
    target.recordProbeEnded();
    result.tryEmitValue(target);
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
