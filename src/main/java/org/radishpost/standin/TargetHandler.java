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

/** Handles the HTTP requests to one target stand-in. Thread-safe. */
final class TargetHandler {
  private static final String OUTCOME_HEADER = "Radishpost-Outcome";
  private static final String DEADLINE_HEADER = "Radishpost-Deadline-Ms";
  private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
  private static final String BYTES_PATH = "/bytes/";
  private static final String RUNS_PATH = "/runs/";
  private static final int CHUNK_BYTES = 16 * 1024;
  private static final Duration NO_DEADLINE = Duration.ofDays(1);

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
      case "/control" -> handleControl(request, response);
      case "/stats" -> sendJson(response, state.counters().stats(state.slots()));
      case "/load" -> handleLoad(response);
      default ->
          path.startsWith(RUNS_PATH) ? handleRuns(path, response) : handleCall(request, response);
    };
  }

  private Publisher<Void> handleControl(HttpServerRequest request, HttpServerResponse response) {
    if (!request.method().equals(HttpMethod.PUT)) {
      return sendJson(response, state.control());
    }
    return request
        .receive()
        .aggregate()
        .asByteArray()
        .flatMap(body -> Mono.fromCallable(() -> mapper.readValue(body, TargetControl.class)))
        .flatMap(newControl -> applyControl(newControl, response))
        .onErrorResume(
            IOException.class,
            invalidJson ->
                sendJson(
                    response.status(HttpResponseStatus.BAD_REQUEST), invalidJson.getMessage()));
  }

  /**
   * Applies a crash after the response, because a crash closes the connection, and everything else
   * before the response.
   */
  private Mono<Void> applyControl(TargetControl newControl, HttpServerResponse response) {
    Mono<Void> apply = Mono.fromRunnable(() -> onControl.accept(newControl));
    return newControl.crashNow()
        ? sendJson(response, newControl).then(apply)
        : apply.then(sendJson(response, newControl));
  }

  private Publisher<Void> handleLoad(HttpServerResponse response) {
    state.counters().probes.incrementAndGet();
    if (state.control().silent()) {
      return Mono.never();
    }
    return sendText(response, state.report());
  }

  private Publisher<Void> handleRuns(String path, HttpServerResponse response) {
    String idempotencyKey = path.substring(RUNS_PATH.length());
    return sendJson(response, new Runs(state.counters().runCount(idempotencyKey)));
  }

  private Publisher<Void> handleCall(HttpServerRequest request, HttpServerResponse response) {
    TargetControl control = state.control();
    if (control.silent()) {
      return Mono.never();
    }
    if (control.failFast()) {
      return sendText(response.status(HttpResponseStatus.INTERNAL_SERVER_ERROR), "failed");
    }
    if (control.shed()) {
      return sendShed(response);
    }
    if (state.wouldCrashFromColdOverload()) {
      return Mono.fromRunnable(() -> onCrash.accept(true));
    }
    Channel channel = channel(request);
    return Mono.usingWhen(
            state.slots().acquire().timeout(remainingTime(request), Mono.empty(), clock),
            slotGeneration -> run(request, response).thenReturn(true),
            slotGeneration -> Mono.fromRunnable(() -> state.slots().release(slotGeneration)))
        .switchIfEmpty(Mono.defer(() -> Mono.from(sendShed(response)).thenReturn(true)))
        .takeUntilOther(whenClosed(channel))
        .then();
  }

  private Mono<Void> run(HttpServerRequest request, HttpServerResponse response) {
    HttpHeaders headers = request.requestHeaders();
    state.counters().countRun(headers.get(IDEMPOTENCY_KEY_HEADER), state.control().draining());
    boolean crashRequested = hasCrashMarker(request);
    BodyDigest digest = new BodyDigest();
    Mono<Long> execution =
        request
            .receive()
            .doOnNext(digest::add)
            .then(Mono.defer(() -> Mono.delay(state.serviceTime(), clock)));
    return execution
        .timeout(remainingTime(request), Mono.empty(), clock)
        .doOnCancel(state.counters().cancels::incrementAndGet)
        .flatMap(
            elapsed -> {
              if (crashRequested) {
                return Mono.<Boolean>fromRunnable(() -> onCrash.accept(false)).thenReturn(true);
              }
              state.countCompletedCall();
              return sendCallResponse(request, response, digest).thenReturn(true);
            })
        .switchIfEmpty(Mono.defer(() -> sendDeadlineExceeded(response).thenReturn(true)))
        .then();
  }

  private Mono<Void> sendCallResponse(
      HttpServerRequest request, HttpServerResponse response, BodyDigest digest) {
    String path = request.fullPath();
    if (path.startsWith(BYTES_PATH)) {
      return sendZeroBytes(request, response, path.substring(BYTES_PATH.length()));
    }
    Echo echo =
        new Echo(
            request.method().name(),
            request.uri(),
            digest.byteCount(),
            digest.sha256Hex(),
            state.incarnation(),
            state.counters().runs.get());
    byte[] body = encode(echo);
    return sendBody(request, response, body.length, Flux.just(Unpooled.wrappedBuffer(body)));
  }

  private Mono<Void> sendZeroBytes(
      HttpServerRequest request, HttpServerResponse response, String count) {
    if (!count.matches("\\d{1,12}")) {
      return Mono.from(sendText(response.status(HttpResponseStatus.BAD_REQUEST), "bad count"));
    }
    long totalBytes = Long.parseLong(count);
    Flux<ByteBuf> body =
        Flux.generate(
            () -> totalBytes,
            (remaining, sink) -> {
              int chunkBytes = (int) Math.min(remaining, CHUNK_BYTES);
              if (chunkBytes == 0) {
                sink.complete();
              } else {
                sink.next(Unpooled.wrappedBuffer(new byte[chunkBytes]));
              }
              return remaining - chunkBytes;
            });
    return sendBody(request, response, totalBytes, body);
  }

  private Mono<Void> sendBody(
      HttpServerRequest request,
      HttpServerResponse response,
      long contentLength,
      Flux<ByteBuf> body) {
    withLoadReport(response).header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(contentLength));
    if (!state.takeTruncation()) {
      return response.send(body).then();
    }
    Channel channel = channel(request);
    Flux<ByteBuf> truncatedBody =
        body.take(1).map(chunk -> chunk.readSlice(chunk.readableBytes() / 2));
    return response
        .send(truncatedBody.concatWith(Mono.fromRunnable(() -> flushAndClose(channel))))
        .then();
  }

  private Mono<Void> sendDeadlineExceeded(HttpServerResponse response) {
    state.counters().late.incrementAndGet();
    return Mono.from(
        sendText(response.status(HttpResponseStatus.GATEWAY_TIMEOUT), "deadline passed"));
  }

  private Publisher<Void> sendShed(HttpServerResponse response) {
    state.counters().sheds.incrementAndGet();
    return sendText(
        response
            .status(HttpResponseStatus.SERVICE_UNAVAILABLE)
            .header(OUTCOME_HEADER, Verdict.NOT_RUN.wireName()),
        "shed");
  }

  private boolean hasCrashMarker(HttpServerRequest request) {
    String marker = state.control().crashMarker();
    if (marker == null || marker.isEmpty()) {
      return false;
    }
    return request.uri().contains(marker)
        || request.requestHeaders().entries().stream()
            .anyMatch(header -> header.getValue().equals(marker));
  }

  private static Duration remainingTime(HttpServerRequest request) {
    String text = request.requestHeaders().get(DEADLINE_HEADER, "");
    return text.matches("\\d{1,9}") ? Duration.ofMillis(Long.parseLong(text)) : NO_DEADLINE;
  }

  private HttpServerResponse withLoadReport(HttpServerResponse response) {
    return response.header(LoadReportHeader.NAME, state.report());
  }

  private Mono<Void> sendJson(HttpServerResponse response, Object body) {
    response.header(HttpHeaderNames.CONTENT_TYPE, "application/json");
    byte[] bytes = encode(body);
    response.header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(bytes.length));
    return response.sendByteArray(Mono.just(bytes)).then();
  }

  private Publisher<Void> sendText(HttpServerResponse response, String body) {
    withLoadReport(response).header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(body.length()));
    return response.sendString(Mono.just(body));
  }

  private byte[] encode(Object value) {
    try {
      return mapper.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot encode a response as JSON", e);
    }
  }

  private static Channel channel(HttpServerRequest request) {
    Channel[] holder = new Channel[1];
    request.withConnection(connection -> holder[0] = connection.channel());
    return holder[0];
  }

  private static Mono<Void> whenClosed(Channel channel) {
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
