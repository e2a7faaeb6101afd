package org.radishpost.admin;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.radishpost.errors.StartException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.http.BodyTooLargeException;
import org.radishpost.http.Listener;
import org.radishpost.lib.Endpoint;
import org.radishpost.manifest.ManifestBounds;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.manifest.ManifestValidator;
import org.radishpost.settings.NodeSettings.TokenSettings;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * Listens for administration; docs/ADMIN.md lists the paths.
 *
 * <p>Create it, {@link #start()} it once and {@link #stop()} it once. Thread-safe. Every request
 * needs a bearer token whose digest the settings name; bodies and heads are bounded.
 */
public final class AdminServer {
  private static final int MAX_HEAD_BYTES = 16_384;
  private static final Duration IDLE = Duration.ofSeconds(30);
  private static final Duration BODY_LIMIT = Duration.ofSeconds(30);
  private static final AdminAnswer NO_TOKEN =
      AdminAnswer.refused(401, "The token is missing or not known: send Authorization: Bearer.");
  private static final AdminAnswer TOO_MANY =
      AdminAnswer.refused(429, "Too many wrong tokens came from this address: wait and try again.");
  private static final AdminAnswer TOO_LARGE =
      AdminAnswer.refused(413, "The body is too large: see docs/ADMIN.md.");

  private final Listener listener;
  private final TokenTable tokens;
  private final FailedTokens failed = new FailedTokens();
  private final AdminRoutes routes;
  private final EventSink events;
  private final Scheduler clock;
  private final LoopResources loops;

  /**
   * Creates a server that does not listen yet.
   *
   * @param address where it listens
   * @param tokens who may use it
   * @param view what it shows and changes
   * @param events takes the events
   * @param clock the clock
   * @param loops the threads
   */
  public AdminServer(
      Endpoint address,
      List<TokenSettings> tokens,
      AdminView view,
      EventSink events,
      Scheduler clock,
      LoopResources loops) {
    this.listener = new Listener(address);
    this.tokens = new TokenTable(tokens);
    this.routes = new AdminRoutes(view, events, new ManifestCodec(), new ManifestValidator());
    this.events = events;
    this.clock = clock;
    this.loops = loops;
  }

  /**
   * Starts to listen.
   *
   * @return the address with the port in use
   * @throws StartException if the address is taken
   */
  public Endpoint start() throws StartException {
    return listener.start(
        HttpServer.create()
            .protocol(HttpProtocol.HTTP11)
            .runOn(loops)
            .idleTimeout(IDLE)
            .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEAD_BYTES))
            .handle(this::handle));
  }

  /** Closes everything; ends when it is closed. */
  public Mono<Void> stop() {
    return listener.stop();
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    String peer = peer(request);
    if (failed.exhausted(peer, nowMillis())) {
      return write(TOO_MANY, true, response);
    }
    String authorization = request.requestHeaders().get(HttpHeaderNames.AUTHORIZATION, "");
    Optional<Permissions> holder = tokens.find(authorization);
    if (holder.isEmpty()) {
      failed.failed(peer, nowMillis());
      events.emit(EventCode.ADMIN_TOKEN_REFUSED, EventField.of("address", peer));
      return write(NO_TOKEN, true, response);
    }
    return body(request, holder.get())
        .map(body -> request(request, body))
        .flatMap(admin -> routes.answer(admin, holder.get()))
        .flatMap(answer -> write(answer, false, response))
        .onErrorResume(BodyTooLargeException.class, error -> write(TOO_LARGE, true, response));
  }

  private Mono<byte[]> body(HttpServerRequest request, Permissions holder) {
    long maxBytes =
        holder.publishAny() ? ManifestBounds.MAX_DOCUMENT_BYTES : ServiceChangeCodec.MAX_BYTES;
    Flux<ByteBuf> bounded = BodyTooLargeException.limit(request.receive(), maxBytes);
    return reactor.netty.ByteBufFlux.fromInbound(bounded)
        .aggregate()
        .asByteArray()
        .defaultIfEmpty(new byte[0])
        .timeout(BODY_LIMIT, clock);
  }

  private static AdminRequest request(HttpServerRequest request, byte[] body) {
    return new AdminRequest(
        request.method().name(),
        request.uri(),
        request.requestHeaders().get(HttpHeaderNames.ACCEPT, ""),
        request.requestHeaders().get(AdminRequest.OPERATION_HEADER, ""),
        body);
  }

  private static String peer(HttpServerRequest request) {
    return request.remoteAddress() instanceof InetSocketAddress address
        ? address.getAddress().getHostAddress()
        : "unknown";
  }

  private static Mono<Void> write(AdminAnswer answer, boolean close, HttpServerResponse response) {
    response
        .status(answer.status())
        .header(HttpHeaderNames.CONTENT_TYPE, answer.mediaType())
        .header(HttpHeaderNames.CACHE_CONTROL, "no-store")
        .header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(answer.body().length));
    if (close) {
      response.header(HttpHeaderNames.CONNECTION, "close");
    }
    if (answer.status() == 429) {
      response.header(HttpHeaderNames.RETRY_AFTER, "10");
    }
    if (answer.status() == 401) {
      response.header(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
    }
    return response.sendByteArray(Mono.just(answer.body())).then();
  }

  private long nowMillis() {
    return clock.now(TimeUnit.MILLISECONDS);
  }
}
