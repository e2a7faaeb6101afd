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
 * Drives an open-loop load: calls are sent at their times, whether or not earlier ones have ended.
 *
 * <p>Create one for each load, {@link #run} it once, then {@link #close} it. Latency counts from
 * the intended time of each call. Thread-safe.
 */
public final class LoadDriver {
  private static final int LOOPS = 2;
  private static final int ENTRY_CONNECTIONS = 2_000;
  private static final int SERVER_ERROR = 500;
  private static final Duration CONNECT_LIMIT = Duration.ofSeconds(2);
  private static final Duration IDLE_LIMIT = Duration.ofSeconds(5);
  private static final Duration PROGRESS_PERIOD = Duration.ofSeconds(2);
  private static final Duration EVENT_LIMIT = Duration.ofSeconds(10);

  private final LoadPlan plan;
  private final Scheduler clock;
  private final Consumer<String> progress;
  private final LoadRecorder recorder;
  private final Arrivals arrivals;
  private final LoopResources loops = LoopResources.create("bench", LOOPS, true);
  private final ConnectionProvider connections;
  private final HttpClient client;
  private final byte[] largestBody;
  private final AtomicInteger open = new AtomicInteger();
  private final ConcurrentLinkedQueue<LoadResult.EventResult> events =
      new ConcurrentLinkedQueue<>();
  private final Sinks.Empty<Void> allSent = Sinks.empty();
  private final Scheduler.Worker sender;
  private long startNanos;

  /**
   * Creates a driver that has not begun.
   *
   * @param plan the load
   * @param clock the clock and timers
   * @param senders where calls are sent from, with a thread that nothing else keeps busy
   * @param progress takes a line of text now and then
   */
  public LoadDriver(LoadPlan plan, Scheduler clock, Scheduler senders, Consumer<String> progress) {
    this.plan = plan;
    this.clock = clock;
    this.progress = progress;
    this.recorder = new LoadRecorder(plan);
    this.arrivals = new Arrivals(plan);
    this.sender = senders.createWorker();
    this.largestBody =
        new byte[plan.kinds().stream().mapToInt(KindPlan::bodyBytes).max().orElse(0)];
    this.connections =
        ConnectionProvider.builder("bench")
            .maxConnections(ENTRY_CONNECTIONS)
            .pendingAcquireMaxCount(plan.maxInFlight())
            .maxIdleTime(IDLE_LIMIT)
            .lifo()
            .build();
    this.client =
        HttpClient.create(connections)
            .runOn(loops)
            .disableRetry(true)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_LIMIT.toMillis());
  }

  /** Sends the whole load; the result comes when the last call has ended. */
  public Mono<LoadResult> run() {
    return Mono.defer(
        () -> {
          startNanos = clock.now(TimeUnit.NANOSECONDS);
          List<EventPlan> script = plan.allEvents();
          Flux<Void> scripted =
              Flux.fromIterable(script).flatMap(this::apply, Math.max(1, script.size()));
          Disposable telling = tellProgress();
          Disposable happening = scripted.subscribe();
          sender.schedule(() -> sendDue(arrivals.next()));
          return allSent
              .asMono()
              .then(Mono.delay(Duration.ofMillis(plan.timeoutMillis()).plus(CONNECT_LIMIT), clock))
              .doFinally(
                  end -> {
                    telling.dispose();
                    happening.dispose();
                  })
              .then(Mono.fromCallable(() -> recorder.result(List.copyOf(events))));
        });
  }

  /** Closes all connections. */
  public Mono<Void> close() {
    sender.dispose();
    return connections.disposeLater().then(loops.disposeLater(Duration.ZERO, CONNECT_LIMIT));
  }

  private Disposable tellProgress() {
    return Flux.interval(PROGRESS_PERIOD, clock)
        .subscribe(
            tick ->
                progress.accept(
                    "%d of %d s: %s"
                        .formatted(
                            TimeUnit.NANOSECONDS.toSeconds(sinceStart()),
                            TimeUnit.MILLISECONDS.toSeconds(plan.totalMillis()),
                            recorder.progress())));
  }

  private void sendDue(Optional<Arrival> first) {
    Optional<Arrival> next = first;
    while (next.isPresent() && next.get().offsetNanos() <= sinceStart()) {
      send(next.get());
      next = arrivals.next();
    }
    if (next.isEmpty()) {
      allSent.tryEmitEmpty();
      return;
    }
    Optional<Arrival> later = next;
    sender.schedule(
        () -> sendDue(later), later.get().offsetNanos() - sinceStart(), TimeUnit.NANOSECONDS);
  }

  private void send(Arrival arrival) {
    recorder.sent(arrival, sinceStart());
    if (open.incrementAndGet() > plan.maxInFlight()) {
      open.decrementAndGet();
      recorder.ended(arrival, Outcome.NOT_SENT, sinceStart());
      return;
    }
    exchange(arrival)
        .timeout(Duration.ofMillis(plan.timeoutMillis()), clock)
        .onErrorResume(error -> Mono.just(failure(error)))
        .subscribe(
            outcome -> {
              open.decrementAndGet();
              recorder.ended(arrival, outcome, sinceStart());
            });
  }

  private Mono<Outcome> exchange(Arrival arrival) {
    KindPlan kind = plan.kinds().get(arrival.kind());
    return client
        .remoteAddress(() -> new InetSocketAddress(arrival.entry().ip(), arrival.entry().port()))
        .headers(headers -> head(headers, kind, arrival))
        .request(HttpMethod.valueOf(kind.method()))
        .uri(kind.path())
        .send(body(kind))
        .responseSingle((response, body) -> body.thenReturn(outcome(response)))
        .switchIfEmpty(Mono.just(Outcome.CUT));
  }

  private ByteBufFlux body(KindPlan kind) {
    return ByteBufFlux.fromInbound(
        kind.bodyBytes() == 0
            ? Flux.empty()
            : Flux.just(Unpooled.wrappedBuffer(largestBody, 0, kind.bodyBytes())));
  }

  private void head(HttpHeaders headers, KindPlan kind, Arrival arrival) {
    headers.set("content-length", kind.bodyBytes());
    if (kind.key()) {
      headers.set(
          HeaderNames.IDEMPOTENCY_KEY,
          clock.now(TimeUnit.MILLISECONDS) + "-%016x".formatted(arrival.key()));
    }
  }

  private static Outcome outcome(HttpClientResponse response) {
    String verdict = response.responseHeaders().get(HeaderNames.OUTCOME, "");
    if (verdict.equals(Verdict.NOT_RUN.wireName())) {
      return Outcome.NOT_RUN;
    }
    boolean open = !verdict.isEmpty() || response.status().code() >= SERVER_ERROR;
    return open ? Outcome.UNKNOWN : Outcome.ANSWERED;
  }

  private static Outcome failure(Throwable error) {
    return error instanceof TimeoutException ? Outcome.TIMEOUT : Outcome.CUT;
  }

  private Mono<Void> apply(EventPlan event) {
    Duration at = Duration.ofMillis(plan.warmUpMillis() + event.atMillis());
    return Mono.delay(at, clock)
        .then(Mono.defer(() -> request(event)))
        .timeout(at.plus(EVENT_LIMIT), clock)
        .onErrorResume(error -> Mono.just(String.valueOf(error.getMessage())))
        .filter(result -> !event.label().isEmpty())
        .doOnNext(result -> note(event.label(), result))
        .then();
  }

  private Mono<String> request(EventPlan event) {
    return client
        .headers(headers -> eventHead(headers, event))
        .request(HttpMethod.valueOf(event.method()))
        .uri(event.url())
        .send(ByteBufFlux.fromString(Mono.just(event.body())))
        .responseSingle(
            (response, body) -> body.thenReturn(String.valueOf(response.status().code())));
  }

  private static void eventHead(HttpHeaders headers, EventPlan event) {
    headers.set("content-length", event.body().length());
    headers.set("content-type", "application/json");
    if (!event.token().isEmpty()) {
      headers.set("authorization", "Bearer " + event.token());
    }
  }

  /** Notes something that another one has done to the system, now. */
  public void note(String label, String result) {
    long atMillis = TimeUnit.NANOSECONDS.toMillis(sinceStart()) - plan.warmUpMillis();
    events.add(new LoadResult.EventResult(atMillis, label, result));
    progress.accept("event: " + label + " -> " + result);
  }

  private long sinceStart() {
    return clock.now(TimeUnit.NANOSECONDS) - startNanos;
  }
}
