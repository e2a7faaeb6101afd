package org.radishpost.bench;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.radishpost.bench.LoadPlan.EventPlan;
import org.radishpost.bench.LoadPlan.KindPlan;
import org.radishpost.http.HeaderNames;
import org.radishpost.lib.Verdict;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * Generates an open-loop load: each call is sent at its scheduled time, whether or not earlier
 * calls have ended.
 *
 * <p>Create one driver for each load, {@link #run} it once, then {@link #close} it. Latency is
 * measured from the scheduled time of each call. Thread-safe.
 */
public final class LoadDriver {
  private static final int EVENT_LOOP_THREADS = 2;
  private static final int MAX_CONNECTIONS_PER_ENTRY = 2_000;
  private static final int MIN_SERVER_ERROR_STATUS = 500;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration MAX_IDLE_TIME = Duration.ofSeconds(5);
  private static final Duration PROGRESS_PERIOD = Duration.ofSeconds(2);
  private static final Duration EVENT_TIMEOUT = Duration.ofSeconds(10);

  private final LoadPlan plan;
  private final Scheduler clock;
  private final Consumer<String> progressListener;
  private final LoadRecorder recorder;
  private final ArrivalGenerator arrivals;
  private final LoopResources eventLoops = LoopResources.create("bench", EVENT_LOOP_THREADS, true);
  private final ConnectionProvider connections;
  private final HttpClient client;
  private final byte[] bodyBuffer;
  private final AtomicInteger callsInFlight = new AtomicInteger();
  private final ConcurrentLinkedQueue<LoadResult.EventResult> eventResults =
      new ConcurrentLinkedQueue<>();
  private final Sinks.Empty<Void> allSent = Sinks.empty();
  private final Scheduler.Worker sendWorker;
  private long startNanos;

  /**
   * Creates a driver that starts sending when {@link #run} is subscribed to.
   *
   * @param plan the load to generate
   * @param clock the clock and the scheduler of timers
   * @param sendScheduler the scheduler that sends calls; its thread must have no other work, which
   *     would delay calls
   * @param progressListener receives a line of text for every event and at regular intervals
   */
  public LoadDriver(
      LoadPlan plan, Scheduler clock, Scheduler sendScheduler, Consumer<String> progressListener) {
    this.plan = plan;
    this.clock = clock;
    this.progressListener = progressListener;
    this.recorder = new LoadRecorder(plan);
    this.arrivals = new ArrivalGenerator(plan);
    this.sendWorker = sendScheduler.createWorker();
    this.bodyBuffer = new byte[plan.kinds().stream().mapToInt(KindPlan::bodyBytes).max().orElse(0)];
    this.connections =
        ConnectionProvider.builder("bench")
            .maxConnections(MAX_CONNECTIONS_PER_ENTRY)
            .pendingAcquireMaxCount(plan.maxInFlight())
            .maxIdleTime(MAX_IDLE_TIME)
            .lifo()
            .build();
    this.client =
        HttpClient.create(connections)
            .runOn(eventLoops)
            .disableRetry(true)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_TIMEOUT.toMillis());
  }

  /** Sends all calls of the plan and emits the result after the last call has ended. */
  public Mono<LoadResult> run() {
    return Mono.defer(
        () -> {
          startNanos = clock.now(TimeUnit.NANOSECONDS);
          List<EventPlan> eventPlans = plan.allEvents();
          Flux<Void> eventRequests =
              Flux.fromIterable(eventPlans).flatMap(this::runEvent, Math.max(1, eventPlans.size()));
          Disposable progressSubscription = startProgressReports();
          Disposable eventSubscription = eventRequests.subscribe();
          sendWorker.schedule(() -> sendDueCalls(arrivals.next()));
          return allSent
              .asMono()
              .then(
                  Mono.delay(Duration.ofMillis(plan.timeoutMillis()).plus(CONNECT_TIMEOUT), clock))
              .doFinally(
                  signal -> {
                    progressSubscription.dispose();
                    eventSubscription.dispose();
                  })
              .then(Mono.fromCallable(() -> recorder.toResult(List.copyOf(eventResults))));
        });
  }

  /** Stops sending and closes all connections. */
  public Mono<Void> close() {
    sendWorker.dispose();
    return connections.disposeLater().then(eventLoops.disposeLater(Duration.ZERO, CONNECT_TIMEOUT));
  }

  private Disposable startProgressReports() {
    return Flux.interval(PROGRESS_PERIOD, clock)
        .subscribe(
            tick ->
                progressListener.accept(
                    "%d of %d s: %s"
                        .formatted(
                            TimeUnit.NANOSECONDS.toSeconds(elapsedNanos()),
                            TimeUnit.MILLISECONDS.toSeconds(plan.totalMillis()),
                            recorder.formatProgress())));
  }

  private void sendDueCalls(Optional<Arrival> nextArrival) {
    Optional<Arrival> current = nextArrival;
    while (current.isPresent() && current.get().offsetNanos() <= elapsedNanos()) {
      send(current.get());
      current = arrivals.next();
    }
    if (current.isEmpty()) {
      allSent.tryEmitEmpty();
      return;
    }
    Optional<Arrival> upcoming = current;
    sendWorker.schedule(
        () -> sendDueCalls(upcoming),
        upcoming.get().offsetNanos() - elapsedNanos(),
        TimeUnit.NANOSECONDS);
  }

  private void send(Arrival arrival) {
    recorder.recordArrival(arrival, elapsedNanos());
    if (callsInFlight.incrementAndGet() > plan.maxInFlight()) {
      callsInFlight.decrementAndGet();
      recorder.recordEnd(arrival, Outcome.NOT_SENT, elapsedNanos());
      return;
    }
    exchange(arrival)
        .timeout(Duration.ofMillis(plan.timeoutMillis()), clock)
        .onErrorResume(error -> Mono.just(outcomeOfFailure(error)))
        .subscribe(
            outcome -> {
              callsInFlight.decrementAndGet();
              recorder.recordEnd(arrival, outcome, elapsedNanos());
            });
  }

  private Mono<Outcome> exchange(Arrival arrival) {
    KindPlan kind = plan.kinds().get(arrival.kindIndex());
    return client
        .remoteAddress(() -> new InetSocketAddress(arrival.entry().ip(), arrival.entry().port()))
        .headers(headers -> setCallHeaders(headers, kind, arrival))
        .request(HttpMethod.valueOf(kind.method()))
        .uri(kind.path())
        .send(body(kind))
        .responseSingle((response, body) -> body.thenReturn(outcomeOf(response)))
        .switchIfEmpty(Mono.just(Outcome.CUT));
  }

  private ByteBufFlux body(KindPlan kind) {
    return ByteBufFlux.fromInbound(
        kind.bodyBytes() == 0
            ? Flux.empty()
            : Flux.just(Unpooled.wrappedBuffer(bodyBuffer, 0, kind.bodyBytes())));
  }

  private void setCallHeaders(HttpHeaders headers, KindPlan kind, Arrival arrival) {
    headers.set("content-length", kind.bodyBytes());
    if (kind.key()) {
      headers.set(
          HeaderNames.IDEMPOTENCY_KEY,
          clock.now(TimeUnit.MILLISECONDS) + "-%016x".formatted(arrival.keySuffix()));
    }
  }

  private static Outcome outcomeOf(HttpClientResponse response) {
    String verdict = response.responseHeaders().get(HeaderNames.OUTCOME, "");
    if (verdict.equals(Verdict.NOT_RUN.wireName())) {
      return Outcome.NOT_RUN;
    }
    boolean unknown = !verdict.isEmpty() || response.status().code() >= MIN_SERVER_ERROR_STATUS;
    return unknown ? Outcome.UNKNOWN : Outcome.ANSWERED;
  }

  private static Outcome outcomeOfFailure(Throwable error) {
    return error instanceof TimeoutException ? Outcome.TIMEOUT : Outcome.CUT;
  }

  private Mono<Void> runEvent(EventPlan event) {
    Duration delay = Duration.ofMillis(plan.warmUpMillis() + event.atMillis());
    return Mono.delay(delay, clock)
        .then(Mono.defer(() -> sendEventRequest(event)))
        .timeout(delay.plus(EVENT_TIMEOUT), clock)
        .onErrorResume(error -> Mono.just(String.valueOf(error.getMessage())))
        .filter(result -> !event.label().isEmpty())
        .doOnNext(result -> recordEvent(event.label(), result))
        .then();
  }

  private Mono<String> sendEventRequest(EventPlan event) {
    return client
        .headers(headers -> setEventHeaders(headers, event))
        .request(HttpMethod.valueOf(event.method()))
        .uri(event.url())
        .send(ByteBufFlux.fromString(Mono.just(event.body())))
        .responseSingle(
            (response, body) -> body.thenReturn(String.valueOf(response.status().code())));
  }

  private static void setEventHeaders(HttpHeaders headers, EventPlan event) {
    headers.set("content-length", event.body().length());
    headers.set("content-type", "application/json");
    if (!event.token().isEmpty()) {
      headers.set("authorization", "Bearer " + event.token());
    }
  }

  /**
   * Records an event that the driver did not cause itself, at the current time.
   *
   * @param label the label in reports
   * @param result the outcome of the event
   */
  public void recordEvent(String label, String result) {
    long atMillis = TimeUnit.NANOSECONDS.toMillis(elapsedNanos()) - plan.warmUpMillis();
    eventResults.add(new LoadResult.EventResult(atMillis, label, result));
    progressListener.accept("event: " + label + " -> " + result);
  }

  private long elapsedNanos() {
    return clock.now(TimeUnit.NANOSECONDS) - startNanos;
  }
}
