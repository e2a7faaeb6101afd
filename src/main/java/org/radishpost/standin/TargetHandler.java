package org.radishpost.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import org.radishpost.http.LoadReportHeader;
import org.radishpost.lib.Verdict;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** Answers the requests to one target stand-in; thread-safe. */
final class TargetHandler {
  private static final String OUTCOME_HEADER = "Radishpost-Outcome";
  private static final String DEADLINE_HEADER = "Radishpost-Deadline-Ms";
  private static final String KEY_HEADER = "Idempotency-Key";
  private static final String BYTES_PATH = "/bytes/";
  private static final String RUNS_PATH = "/runs/";
  private static final int CHUNK_BYTES = 16 * 1024;
  private static final Duration FOREVER = Duration.ofDays(1);

  private final TargetState state;
  private final Scheduler clock;
  private final Consumer<TargetControl> onControl;
  private final Consumer<Boolean> onCrash;
  private final ObjectMapper mapper = JsonMapper.builder().build();

  TargetHandler(
      TargetState state,
      Scheduler clock,
      Consumer<TargetControl> onControl,
      Consumer<Boolean> onCrash) {
    this.state = state;
    this.clock = clock;
    this.onControl = onControl;
    this.onCrash = onCrash;
  }

  Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    String path = request.fullPath();
    return switch (path) {
      case "/control" -> control(request, response);
      case "/stats" -> json(response, state.counters().stats(state.slots()));
      case "/load" -> load(response);
      default -> path.startsWith(RUNS_PATH) ? runs(path, response) : call(request, response);
    };
  }

  private Publisher<Void> control(HttpServerRequest request, HttpServerResponse response) {
    if (!request.method().equals(HttpMethod.PUT)) {
      return json(response, state.control());
    }
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .flatMap(body -> Mono.fromCallable(() -> mapper.readValue(body, TargetControl.class)))
        .flatMap(wanted -> controlled(wanted, response))
        .onErrorResume(
            IOException.class,
            bad -> json(response.status(HttpResponseStatus.BAD_REQUEST), bad.getMessage()));
  }

  /** A crash takes the connection along, so it comes after the answer; all else comes before. */
  private Mono<Void> controlled(TargetControl wanted, HttpServerResponse response) {
    Mono<Void> set = Mono.fromRunnable(() -> onControl.accept(wanted));
    return wanted.crashNow() ? json(response, wanted).then(set) : set.then(json(response, wanted));
  }

  private Publisher<Void> load(HttpServerResponse response) {
    state.counters().probes.incrementAndGet();
    if (state.control().silent()) {
      return Mono.never();
    }
    return text(response, state.report());
  }

  private Publisher<Void> runs(String path, HttpServerResponse response) {
    String key = path.substring(RUNS_PATH.length());
    return json(response, new Runs(state.counters().runsOf(key)));
  }

  private Publisher<Void> call(HttpServerRequest request, HttpServerResponse response) {
    TargetControl control = state.control();
    if (control.silent()) {
      return Mono.never();
    }
    if (control.failFast()) {
      return text(response.status(HttpResponseStatus.INTERNAL_SERVER_ERROR), "failed");
    }
    if (control.shed()) {
      return shed(response);
    }
    if (state.wouldFallOver()) {
      return Mono.fromRunnable(() -> onCrash.accept(true));
    }
    Channel channel = channel(request);
    return Mono.usingWhen(
            state.slots().acquire().timeout(limit(request), Mono.empty(), clock),
            slot -> run(request, response).thenReturn(true),
            slot -> Mono.fromRunnable(() -> state.slots().release(slot)))
        .switchIfEmpty(Mono.defer(() -> Mono.from(shed(response)).thenReturn(true)))
        .takeUntilOther(closed(channel))
        .then();
  }

  private Mono<Void> run(HttpServerRequest request, HttpServerResponse response) {
    HttpHeaders headers = request.requestHeaders();
    state.counters().ran(headers.get(KEY_HEADER), state.control().draining());
    boolean crash = bearsMarker(request);
    BodyDigest digest = new BodyDigest();
    Mono<Long> work =
        request
            .receive()
            .doOnNext(digest::add)
            .then(Mono.defer(() -> Mono.delay(state.serviceTime(), clock)));
    return work.timeout(limit(request), Mono.empty(), clock)
        .doOnCancel(state.counters().cancels::incrementAndGet)
        .flatMap(
            done -> {
              if (crash) {
                return Mono.<Boolean>fromRunnable(() -> onCrash.accept(false)).thenReturn(true);
              }
              state.ran();
              return answer(request, response, digest).thenReturn(true);
            })
        .switchIfEmpty(Mono.defer(() -> late(response).thenReturn(true)))
        .then();
  }

  private Mono<Void> answer(
      HttpServerRequest request, HttpServerResponse response, BodyDigest digest) {
    String path = request.fullPath();
    if (path.startsWith(BYTES_PATH)) {
      return bytes(request, response, path.substring(BYTES_PATH.length()));
    }
    Echo echo =
        new Echo(
            request.method().name(),
            request.uri(),
            digest.bytes(),
            digest.hex(),
            state.incarnation(),
            state.counters().runs.get());
    byte[] body = encode(echo);
    return send(request, response, body.length, Flux.just(Unpooled.wrappedBuffer(body)));
  }

  private Mono<Void> bytes(HttpServerRequest request, HttpServerResponse response, String count) {
    if (!count.matches("\\d{1,12}")) {
      return Mono.from(text(response.status(HttpResponseStatus.BAD_REQUEST), "bad count"));
    }
    long total = Long.parseLong(count);
    Flux<ByteBuf> body =
        Flux.generate(
            () -> total,
            (left, sink) -> {
              int size = (int) Math.min(left, CHUNK_BYTES);
              if (size == 0) {
                sink.complete();
              } else {
                sink.next(Unpooled.wrappedBuffer(new byte[size]));
              }
              return left - size;
            });
    return send(request, response, total, body);
  }

  private Mono<Void> send(
      HttpServerRequest request, HttpServerResponse response, long length, Flux<ByteBuf> body) {
    reported(response).header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(length));
    if (!state.takeCut()) {
      return response.send(body).then();
    }
    Channel channel = channel(request);
    Flux<ByteBuf> half = body.take(1).map(part -> part.readSlice(part.readableBytes() / 2));
    return response.send(half.concatWith(Mono.fromRunnable(() -> flushAndClose(channel)))).then();
  }

  private Mono<Void> late(HttpServerResponse response) {
    state.counters().late.incrementAndGet();
    return Mono.from(text(response.status(HttpResponseStatus.GATEWAY_TIMEOUT), "deadline passed"));
  }

  private Publisher<Void> shed(HttpServerResponse response) {
    state.counters().sheds.incrementAndGet();
    return text(
        response
            .status(HttpResponseStatus.SERVICE_UNAVAILABLE)
            .header(OUTCOME_HEADER, Verdict.NOT_RUN.wireName()),
        "shed");
  }

  private boolean bearsMarker(HttpServerRequest request) {
    String marker = state.control().crashMarker();
    if (marker == null || marker.isEmpty()) {
      return false;
    }
    return request.uri().contains(marker)
        || request.requestHeaders().entries().stream()
            .anyMatch(header -> header.getValue().equals(marker));
  }

  private static Duration limit(HttpServerRequest request) {
    String text = request.requestHeaders().get(DEADLINE_HEADER, "");
    return text.matches("\\d{1,9}") ? Duration.ofMillis(Long.parseLong(text)) : FOREVER;
  }

  private HttpServerResponse reported(HttpServerResponse response) {
    return response.header(LoadReportHeader.NAME, state.report());
  }

  private Mono<Void> json(HttpServerResponse response, Object body) {
    response.header(HttpHeaderNames.CONTENT_TYPE, "application/json");
    byte[] bytes = encode(body);
    response.header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(bytes.length));
    return response.sendByteArray(Mono.just(bytes)).then();
  }

  private Publisher<Void> text(HttpServerResponse response, String body) {
    reported(response).header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(body.length()));
    return response.sendString(Mono.just(body));
  }

  private byte[] encode(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("every answer of the stand-in has a JSON text", e);
    }
  }

  private static Channel channel(HttpServerRequest request) {
    Channel[] found = new Channel[1];
    request.withConnection(connection -> found[0] = connection.channel());
    return found[0];
  }

  private static Mono<Void> closed(Channel channel) {
    return Mono.create(
        sink -> {
          ChannelFutureListener listener = unused -> sink.success();
          channel.closeFuture().addListener(listener);
          sink.onDispose(() -> channel.closeFuture().removeListener(listener));
        });
  }

  private static void flushAndClose(Channel channel) {
    channel.flush();
    channel.eventLoop().execute(channel::close);
  }

  private record Runs(long runs) {}

  private record Echo(
      String method, String path, long bodyBytes, String sha256, String incarnation, long run) {}
}
