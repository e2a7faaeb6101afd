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
 * The HTTP server of the administration API; docs/ADMIN.md lists the paths.
 *
 * <p>Call {@link #start()} once and {@link #stop()} once. Thread-safe. Every request needs a bearer
 * token whose digest is in the settings. The sizes of header sections and bodies are limited.
 */
public final class AdminServer {
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration BODY_TIMEOUT = Duration.ofSeconds(30);
  private static final AdminResponse UNAUTHORIZED =
      AdminResponse.refused(
          401, "The token is missing or unknown: send a valid one in Authorization: Bearer.");
  private static final AdminResponse TOO_MANY_FAILURES =
      AdminResponse.refused(
          429, "Too many requests from this address had no valid token: wait and try again.");
  private static final AdminResponse BODY_TOO_LARGE =
      AdminResponse.refused(413, "The body is too large: see docs/ADMIN.md for the limits.");

  private final Listener listener;
  private final TokenTable tokens;
  private final FailedTokenLimiter failedTokens = new FailedTokenLimiter();
  private final AdminRoutes routes;
  private final EventSink events;
  private final Scheduler clock;
  private final LoopResources loops;

  /**
   * Creates a server that does not listen yet.
   *
   * @param address the address to listen on
   * @param tokens the digests and scopes of the valid tokens
   * @param backend the VM that requests read and change
   * @param events receives the events of changes and refused tokens
   * @param clock the clock
   * @param loops the event loops that serve the connections
   */
  public AdminServer(
      Endpoint address,
      List<TokenSettings> tokens,
      AdminBackend backend,
      EventSink events,
      Scheduler clock,
      LoopResources loops) {
    this.listener = new Listener(address);
    this.tokens = new TokenTable(tokens);
    this.routes = new AdminRoutes(backend, events, new ManifestCodec(), new ManifestValidator());
    this.events = events;
    this.clock = clock;
    this.loops = loops;
  }

  /**
   * Starts listening.
   *
   * @return the address with the actual port
   * @throws StartException if the address cannot be bound
   */
  public Endpoint start() throws StartException {
    return listener.start(
        HttpServer.create()
            .protocol(HttpProtocol.HTTP11)
            .runOn(loops)
            .idleTimeout(IDLE_TIMEOUT)
            .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEADER_BYTES))
            .handle(this::handle));
  }

  /** Stops the server; completes when it has stopped. */
  public Mono<Void> stop() {
    return listener.stop();
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    String remoteAddress = remoteAddress(request);
    if (failedTokens.isBlocked(remoteAddress, nowMillis())) {
      return write(TOO_MANY_FAILURES, true, response);
    }
    String authorization = request.requestHeaders().get(HttpHeaderNames.AUTHORIZATION, "");
    Optional<Permissions> permissions = tokens.find(authorization);
    if (permissions.isEmpty()) {
      failedTokens.recordFailure(remoteAddress, nowMillis());
      events.emit(EventCode.ADMIN_TOKEN_REFUSED, EventField.of("address", remoteAddress));
      return write(UNAUTHORIZED, true, response);
    }
    return readBody(request, permissions.get())
        .map(body -> toAdminRequest(request, body))
        .flatMap(adminRequest -> routes.handle(adminRequest, permissions.get()))
        .flatMap(adminResponse -> write(adminResponse, false, response))
        .onErrorResume(BodyTooLargeException.class, error -> write(BODY_TOO_LARGE, true, response));
  }

  private Mono<byte[]> readBody(HttpServerRequest request, Permissions permissions) {
    long maxBytes =
        permissions.canPublishAny()
            ? ManifestBounds.MAX_DOCUMENT_BYTES
            : ServiceChangeCodec.MAX_BYTES;
    Flux<ByteBuf> bounded = BodyTooLargeException.limit(request.receive(), maxBytes);
    return reactor.netty.ByteBufFlux.fromInbound(bounded)
        .aggregate()
        .asByteArray()
        .defaultIfEmpty(new byte[0])
        .timeout(BODY_TIMEOUT, clock);
  }

  private static AdminRequest toAdminRequest(HttpServerRequest request, byte[] body) {
    return new AdminRequest(
        request.method().name(),
        request.uri(),
        request.requestHeaders().get(HttpHeaderNames.ACCEPT, ""),
        request.requestHeaders().get(AdminRequest.OPERATION_HEADER, ""),
        body);
  }

  private static String remoteAddress(HttpServerRequest request) {
    return request.remoteAddress() instanceof InetSocketAddress address
        ? address.getAddress().getHostAddress()
        : "unknown";
  }

  private static Mono<Void> write(
      AdminResponse adminResponse, boolean close, HttpServerResponse response) {
    response
        .status(adminResponse.status())
        .header(HttpHeaderNames.CONTENT_TYPE, adminResponse.mediaType())
        .header(HttpHeaderNames.CACHE_CONTROL, "no-store")
        .header(HttpHeaderNames.CONTENT_LENGTH, String.valueOf(adminResponse.body().length));
    if (close) {
      response.header(HttpHeaderNames.CONNECTION, "close");
    }
    if (adminResponse.status() == 429) {
      response.header(HttpHeaderNames.RETRY_AFTER, "10");
    }
    if (adminResponse.status() == 401) {
      response.header(HttpHeaderNames.WWW_AUTHENTICATE, "Bearer");
    }
    return response.sendByteArray(Mono.just(adminResponse.body())).then();
  }

  private long nowMillis() {
    return clock.now(TimeUnit.MILLISECONDS);
  }
}
