package org.radishpost.node;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.errors.ResponseTimeoutException;
import org.radishpost.http.CallBody;
import org.radishpost.http.CallSender;
import org.radishpost.http.HeaderNames;
import org.radishpost.http.LoadReportHeader;
import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.http.Responses;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.pool.LoadReport;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/** The targets of a scenario, which all VMs share. */
final class ScenarioTargets {
  static final String REQUEST_FIELD = "x-request";
  static final String CRASH_FIELD = "x-crash";
  private static final double MEAN_MILLIS = 8;

  private final Scheduler time;
  private final RandomGenerator random;
  private final Map<Endpoint, ScenarioTarget> targets = new LinkedHashMap<>();
  private final Sinks.Many<Endpoint> resetTargets = Sinks.many().multicast().directBestEffort();
  final List<String> probeLog = new ArrayList<>();
  private final Map<String, Integer> runsByRequest = new LinkedHashMap<>();
  private final Map<String, Set<Place>> placesByRequest = new LinkedHashMap<>();

  ScenarioTargets(Scheduler time, RandomGenerator random) {
    this.time = time;
    this.random = random;
  }

  ScenarioTarget add(Endpoint address, Place place) {
    ScenarioTarget target = new ScenarioTarget(address, place);
    targets.put(address, target);
    return target;
  }

  Collection<ScenarioTarget> all() {
    return targets.values();
  }

  List<ScenarioTarget> inZone(String zone) {
    return all().stream().filter(t -> t.place.zone().value().equals(zone)).toList();
  }

  /** Restarts a target, which closes all connections to it. */
  void restart(ScenarioTarget target) {
    target.restart(nowMillis());
    resetTargets.tryEmitNext(target.address);
  }

  int runsOf(String request) {
    return runsByRequest.getOrDefault(request, 0);
  }

  Set<Place> placesOf(String request) {
    return placesByRequest.getOrDefault(request, Set.of());
  }

  int runsOfKey(String key) {
    return all().stream().mapToInt(target -> target.runs.getOrDefault(key, 0)).sum();
  }

  long nowMillis() {
    return time.now(TimeUnit.MILLISECONDS);
  }

  /** Returns a sender that sends calls to the targets from a place. */
  CallSender senderFrom(Place vm) {
    return new CallSender() {
      @Override
      public Mono<Response> send(
          Endpoint address, RequestHead head, CallBody body, Duration limit) {
        return Mono.<Response>create(sink -> receive(vm, address, head, sink))
            .timeout(
                limit,
                Mono.error(() -> new ResponseTimeoutException("No response in the scenario.")),
                time);
      }

      @Override
      public void closeIdle(Endpoint address) {}

      @Override
      public Flux<Endpoint> closedAddresses() {
        return resetTargets
            .asFlux()
            .flatMap(address -> Mono.delay(Duration.ofMillis(1), time).thenReturn(address));
      }
    };
  }

  private void receive(Place vm, Endpoint address, RequestHead head, MonoSink<Response> sink) {
    ScenarioTarget target = targets.get(address);
    if (target == null || target.down) {
      sink.error(new NotConnectedException("The target is down in the scenario."));
      return;
    }
    if (target.silent) {
      return;
    }
    long latencyMicros = ScenarioSimulation.latencyMicros(vm, target.place);
    if (head.path().equals("/load")) {
      target.probes++;
      probeLog.add(nowMillis() + " " + vm.zone() + " " + address);
      runAfter(2 * latencyMicros, () -> sink.success(response(target, 200)));
      return;
    }
    if (target.resetsCall(nowMillis(), Math.ceilDiv(latencyMicros, 1_000L))) {
      sink.error(new ConnectionLostException("The connection was reset."));
      return;
    }
    if (target.shedsCall(nowMillis())) {
      Response shedResponse = response(target, 503);
      shedResponse.headers().set(HeaderNames.OUTCOME, "not-run");
      runAfter(2 * latencyMicros, () -> sink.success(shedResponse));
      return;
    }
    recordRun(target, head);
    run(target, head, latencyMicros, sink);
  }

  private void recordRun(ScenarioTarget target, RequestHead head) {
    String request = head.headers().get(REQUEST_FIELD);
    runsByRequest.merge(request, 1, Integer::sum);
    placesByRequest.computeIfAbsent(request, unused -> new HashSet<>()).add(target.place);
    Optional.ofNullable(head.headers().get(HeaderNames.IDEMPOTENCY_KEY))
        .ifPresent(key -> target.runs.merge(key, 1, Integer::sum));
  }

  private void run(
      ScenarioTarget target, RequestHead head, long latencyMicros, MonoSink<Response> sink) {
    String marker = head.headers().get(CRASH_FIELD, "");
    if (!marker.isEmpty() && marker.equals(target.crashMarker)) {
      target.crashes++;
      runAfter(latencyMicros, () -> sink.error(new ConnectionLostException("The target crashed.")));
      restart(target);
      return;
    }
    if (target.failFast) {
      target.running--;
      runAfter(2 * latencyMicros, () -> sink.success(response(target, 500)));
      return;
    }
    Disposable completion =
        runAfter(
            2 * latencyMicros + serviceMicros(target),
            () -> {
              target.running--;
              sink.success(response(target, 200));
            });
    Runnable reset =
        () -> {
          completion.dispose();
          runAfter(
              latencyMicros,
              () -> sink.error(new ConnectionLostException("The connection was reset.")));
        };
    target.resetActions.add(reset);
    sink.onDispose(() -> target.resetActions.remove(reset));
    sink.onCancel(
        () -> {
          if (!completion.isDisposed()) {
            completion.dispose();
            target.running--;
          }
        });
  }

  private long serviceMicros(ScenarioTarget target) {
    double cold = target.isCold(nowMillis()) ? 3 : 1;
    double queueing = Math.max(1, (double) target.running / ScenarioTarget.SLOTS);
    double spread = Math.exp(0.5 * random.nextGaussian());
    return (long) (1_000 * MEAN_MILLIS * spread * target.slowFactor * cold * queueing);
  }

  private Response response(ScenarioTarget target, int status) {
    Response plainResponse = Responses.text(status, "ok");
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(plainResponse.headers());
    headers.set(
        LoadReportHeader.NAME,
        LoadReportHeader.format(
            new LoadReport(
                target.running,
                ScenarioTarget.SLOTS,
                target.isCold(nowMillis()) ? 10 : 100,
                "i" + target.incarnation,
                target.draining)));
    return new Response(status, headers, plainResponse.body(), Mono.empty(), Optional.empty());
  }

  private Disposable runAfter(long micros, Runnable task) {
    return time.schedule(task, micros, TimeUnit.MICROSECONDS);
  }

  List<ScenarioTarget> asList() {
    return new ArrayList<>(targets.values());
  }
}
