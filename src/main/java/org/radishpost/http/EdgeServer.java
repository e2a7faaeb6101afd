package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.radishpost.admission.RetryAllowance;
import org.radishpost.errors.StartException;
import org.radishpost.lib.CallFacts;
import org.radishpost.lib.CallId;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.Verdict;
import org.radishpost.routing.RouteMatch;
import org.radishpost.routing.RouteTable;
import org.radishpost.settings.NodeSettings.LimitSettings;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * Takes callers' requests: checks them, finds the route and writes the answer.
 *
 * <p>Thread-safe after {@link #start()}.
 */
public final class EdgeServer {
  private static final int MAX_DEPTH = 64;

  private final Endpoint address;
  private final RegionName region;
  private final LimitSettings limits;
  private final Scheduler clock;
  private final LoopResources loops;
  private final Supplier<RouteTable> routes;
  private final Readiness readiness;
  private final CallHandler handler;
  private final AtomicLong calls;
  private final InFlight inFlight = new InFlight();
  private DisposableServer server;

  /**
   * Creates a server.
   *
   * @param address where it listens
   * @param region the region of this VM
   * @param limits bounds on what it takes
   * @param clock the clock for deadlines
   * @param loops the threads
   * @param routes the routes in force
   * @param readiness whether this VM takes requests
   * @param handler who runs the calls
   * @param calls the source of call numbers
   */
  public EdgeServer(
      Endpoint address,
      RegionName region,
      LimitSettings limits,
      Scheduler clock,
      LoopResources loops,
      Supplier<RouteTable> routes,
      Readiness readiness,
      CallHandler handler,
      AtomicLong calls) {
    this.address = address;
    this.region = region;
    this.limits = limits;
    this.clock = clock;
    this.loops = loops;
    this.routes = routes;
    this.readiness = readiness;
    this.handler = handler;
    this.calls = calls;
  }

  /**
   * Starts to listen.
   *
   * @return the address with the port in use
   * @throws StartException if the address is taken
   */
  public Endpoint start() throws StartException {
    server =
        ServerStart.bind(
            HttpServer.create()
                .host(address.ip())
                .port(address.port())
                .protocol(HttpProtocol.HTTP11)
                .runOn(loops)
                .idleTimeout(limits.slowSender())
                .doOnChannelInit(
                    (observer, channel, remote) ->
                        channel.pipeline().addFirst(new FramingGuard(NettyPipeline.HttpCodec)))
                .httpRequestDecoder(spec -> spec.maxHeaderSize(limits.headerBytes()))
                .handle((request, response) -> inFlight.counted(handle(request, response))),
            address);
    return new Endpoint(address.ip(), server.port());
  }

  /** Stops listening; connections that are open stay so until {@link #stop()}. */
  public void refuseConnections() {
    server.channel().close();
  }

  /** Returns the counter of the requests that are worked on. */
  public InFlight inFlight() {
    return inFlight;
  }

  /** Closes everything; ends when it is closed. */
  public Mono<Void> stop() {
    server.dispose();
    return server.onDispose();
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    if (request.uri().equals(Readiness.PATH)) {
      return ReplyWriter.write(readiness.reply(), request.method().name(), response);
    }
    Optional<Problem> fault = RequestCheck.fault(request);
    if (fault.isPresent()) {
      return ReplyWriter.refuseAndClose(fault.get(), response);
    }
    if (!readiness.keepAlive()) {
      response.header("connection", "close");
    }
    RequestHead head = RequestCheck.onward(request);
    Optional<RouteMatch> match =
        routes.get().find(RequestCheck.host(request), head.method(), head.path());
    if (match.isEmpty()) {
      return ReplyWriter.refuseAndClose(Problems.noRoute(), response);
    }
    Optional<Problem> refusal = refusal(request, match.get());
    if (refusal.isPresent()) {
      return ReplyWriter.refuseAndClose(refusal.get(), response);
    }
    return CallBody.read(bounded(request, match.get()), limits.replayBytes())
        .map(body -> call(request.requestHeaders(), head, match.get(), body))
        .flatMap(call -> handler.handle(call).doFinally(signal -> call.body().drop()))
        .onErrorResume(
            BodyTooLarge.class,
            error ->
                Mono.just(
                    Reply.of(
                        Problems.bodyTooLarge(
                            match.get().route().maxBodyBytes(), Verdict.NOT_RUN))))
        .flatMap(reply -> Mono.from(ReplyWriter.write(reply, head.method(), response)));
  }

  private Optional<Problem> refusal(HttpServerRequest request, RouteMatch match) {
    if (!match.route().allows(region)) {
      return Optional.of(Problems.outsideHome(match.route().homeRegions()));
    }
    if (!readiness.mayServe()) {
      return Optional.of(Problems.notReady(readiness.why()));
    }
    long bodyBytes = RequestCheck.bodyBytes(request.requestHeaders());
    if (bodyBytes > match.route().maxBodyBytes()) {
      return Optional.of(Problems.bodyTooLarge(match.route().maxBodyBytes(), Verdict.NOT_RUN));
    }
    return Optional.empty();
  }

  private Flux<ByteBuf> bounded(HttpServerRequest request, RouteMatch match) {
    return BodyTooLarge.bound(request.receive(), match.route().maxBodyBytes());
  }

  private Call call(HttpHeaders headers, RequestHead head, RouteMatch match, CallBody body) {
    long limitMillis =
        Math.min(
            match.route().deadline().toMillis(),
            number(headers, HeaderNames.DEADLINE_MILLIS, Long.MAX_VALUE));
    long deadline =
        clock.now(TimeUnit.NANOSECONDS) + TimeUnit.MILLISECONDS.toNanos(Math.max(0, limitMillis));
    CallFacts facts =
        new CallFacts(
            new CallId(calls.incrementAndGet()),
            match.manifest().manifest().gateway(),
            match.route().name(),
            match.route().service(),
            match.manifest().manifest().tenant(),
            match.route().kind(),
            match.route().weight(),
            match.route().idempotent(),
            deadline,
            RequestCheck.bodyBytes(headers),
            match.route().homeRegions(),
            fingerprint(head, body),
            (int) Math.min(MAX_DEPTH, number(headers, HeaderNames.DEPTH, 0)));
    return new Call(
        facts,
        match,
        head,
        body,
        Optional.ofNullable(headers.get(HeaderNames.IDEMPOTENCY_KEY)),
        (int)
            Math.min(
                RetryAllowance.START,
                number(headers, HeaderNames.RETRIES_LEFT, RetryAllowance.START)));
  }

  private static Optional<Digest> fingerprint(RequestHead head, CallBody body) {
    return body.digest()
        .map(digest -> Digest.of(head.method() + "\n" + head.target() + "\n" + digest.hex()));
  }

  private static long number(HttpHeaders headers, String name, long absent) {
    String text = headers.get(name);
    if (text == null) {
      return absent;
    }
    try {
      return Math.max(0, Long.parseLong(text.trim()));
    } catch (NumberFormatException e) {
      return absent;
    }
  }
}
