package org.radishpost.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.radishpost.errors.RequestBodyException;
import org.radishpost.errors.StartException;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.Verdict;
import org.radishpost.pool.HandBackReason;
import org.radishpost.routing.RouteMatch;
import org.radishpost.routing.RouteTable;
import org.radishpost.settings.NodeSettings.LimitSettings;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.NettyPipeline;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * Serves the requests of callers: validates them, matches the route and writes the response.
 *
 * <p>Thread-safe after {@link #start()}.
 */
public final class EdgeServer {
  private static final byte[] NO_BYTES = new byte[0];

  private final Listener listener;
  private final EdgeProtocol protocol;
  private final EdgeAdmission admission;
  private final LimitSettings limits;
  private final Scheduler clock;
  private final LoopResources loops;
  private final Readiness readiness;
  private final CallHandler handler;
  private final AtomicLong lastCallId;
  private final ConnectionLimit connectionLimit;
  private final InFlightRequests inFlightRequests = new InFlightRequests();

  /**
   * Creates a server that does not listen yet.
   *
   * @param address the address to listen on
   * @param protocol the conventions between callers and the edge
   * @param region the region of this VM
   * @param limits limits on connections, request sizes and slow senders
   * @param clock the clock for deadlines
   * @param loops the event loop threads
   * @param routes supplies the current routes
   * @param readiness whether this VM serves requests
   * @param handler processes the calls
   * @param lastCallId the last assigned call ID, incremented for each call
   */
  public EdgeServer(
      Endpoint address,
      EdgeProtocol protocol,
      RegionName region,
      LimitSettings limits,
      Scheduler clock,
      LoopResources loops,
      Supplier<RouteTable> routes,
      Readiness readiness,
      CallHandler handler,
      AtomicLong lastCallId) {
    this.listener = new Listener(address);
    this.protocol = protocol;
    this.admission = new EdgeAdmission(protocol, region, routes, readiness);
    this.limits = limits;
    this.clock = clock;
    this.loops = loops;
    this.readiness = readiness;
    this.handler = handler;
    this.lastCallId = lastCallId;
    this.connectionLimit = new ConnectionLimit(limits);
  }

  /**
   * Starts listening.
   *
   * @return the address with the actual port
   * @throws StartException if the address is already in use
   */
  public Endpoint start() throws StartException {
    return listener.start(
        HttpServer.create()
            .protocol(HttpProtocol.HTTP11)
            .runOn(loops)
            .idleTimeout(limits.slowSenderTimeout())
            .doOnChannelInit((observer, channel, remote) -> configureChannel(channel))
            .httpRequestDecoder(spec -> spec.maxHeaderSize(limits.headerBytes()))
            .handle(
                (request, serverResponse) ->
                    inFlightRequests.track(handle(request, serverResponse))));
  }

  /** Stops listening. Open connections remain open until {@link #stop()}. */
  public void stopAccepting() {
    listener.stopAccepting();
  }

  /** Returns the counter of the requests being processed. */
  public InFlightRequests inFlightRequests() {
    return inFlightRequests;
  }

  /** Closes the listener and all connections. Completes when they are closed. */
  public Mono<Void> stop() {
    return listener.stop();
  }

  private void configureChannel(Channel channel) {
    if (!connectionLimit.admit(channel)) {
      channel.close();
      return;
    }
    channel
        .pipeline()
        .addFirst(
            new RequestFramingHandler(NettyPipeline.HttpCodec, clock, limits.slowSenderTimeout()))
        .addAfter(
            NettyPipeline.HttpCodec,
            ErrorResponseRewriter.class.getName(),
            new ErrorResponseRewriter())
        .addAfter(
            NettyPipeline.HttpCodec,
            PipeliningHandler.class.getName(),
            new PipeliningHandler(this::startEarly));
  }

  private Mono<Void> handle(HttpServerRequest request, HttpServerResponse serverResponse) {
    PipeliningHandler.DispatchInfo dispatch = PipeliningHandler.dispatch(request);
    Mono<Response> response = respond(request, serverResponse, dispatch);
    return (dispatch.queued() ? afterRequestEnd(response, serverResponse) : response)
        .flatMap(
            ready ->
                Mono.from(ResponseWriter.write(ready, request.method().name(), serverResponse)));
  }

  /**
   * Delays the response to a queued request until the library has taken from its queue what it has
   * of the request. If a response is complete before, the library does not read the connection any
   * more.
   */
  private static Mono<Response> afterRequestEnd(
      Mono<Response> response, HttpServerResponse serverResponse) {
    return response
        .publishOn(ResponseWriter.eventLoop(serverResponse))
        .doOnDiscard(Response.class, Response::dropUnread);
  }

  private Mono<Response> respond(
      HttpServerRequest request,
      HttpServerResponse serverResponse,
      PipeliningHandler.DispatchInfo dispatch) {
    if (dispatch.closeAfter()) {
      serverResponse.header("connection", "close");
    }
    if (request.uri().equals(Readiness.PATH)) {
      return Mono.just(readiness.response());
    }
    if (!readiness.allowsKeepAlive() && !dispatch.laterCallRunning()) {
      serverResponse.header("connection", "close");
    }
    if (dispatch.earlyResponse().isPresent()) {
      return dispatch.earlyResponse().get();
    }
    IncomingRequestHead head = IncomingRequestHead.of(request);
    return switch (admission.decide(head)) {
      case EdgeAdmission.Decision.Refused refused ->
          refuseAndClose(refused.response(), serverResponse);
      case EdgeAdmission.Decision.Accepted accepted ->
          serveCall(request, serverResponse, head, accepted.match());
    };
  }

  /** Starts the call for a request that is queued behind others, if it may run early. */
  private Optional<Mono<Response>> startEarly(IncomingRequestHead head) {
    if (head.target().equals(Readiness.PATH)
        || !readiness.allowsKeepAlive()
        || !(admission.decide(head) instanceof EdgeAdmission.Decision.Accepted accepted)
        || !accepted.match().route().idempotent()) {
      return Optional.empty();
    }
    Call call =
        createCall(
            head,
            accepted.match(),
            CallBody.buffered(NO_BYTES),
            deadlineNanos(head, accepted.match()));
    return Optional.of(handler.handle(call).doFinally(signal -> call.body().cancelUnread()));
  }

  private long deadlineNanos(IncomingRequestHead head, RouteMatch match) {
    return clock.now(TimeUnit.NANOSECONDS) + admission.timeout(head, match).toNanos();
  }

  private Mono<Response> serveCall(
      HttpServerRequest request,
      HttpServerResponse serverResponse,
      IncomingRequestHead head,
      RouteMatch match) {
    Duration timeout = admission.timeout(head, match);
    long deadlineNanos = deadlineNanos(head, match);
    AtomicBoolean bodyTooLarge = new AtomicBoolean();
    Flux<ByteBuf> limitedBody =
        BodyTooLargeException.limit(
            bodyOrFault(request), match.route().maxBodyBytes(), () -> bodyTooLarge.set(true));
    return CallBody.read(limitedBody, limits.replayBytes())
        .timeout(timeout, Mono.error(BodyTimeoutException::new), clock)
        .map(body -> createCall(head, match, body, deadlineNanos))
        .flatMap(call -> run(call, request, serverResponse))
        .map(
            response ->
                bodyTooLarge.get() && hasUnknownOutcome(response)
                    ? Response.of(EdgeAdmission.bodyTooLarge(match, Verdict.UNKNOWN))
                    : response)
        .onErrorResume(
            BodyTooLargeException.class,
            error ->
                refuseAndClose(EdgeAdmission.bodyTooLarge(match, Verdict.NOT_RUN), serverResponse))
        .onErrorResume(
            BodyTimeoutException.class,
            error -> refuseAndClose(Problems.handedBack(HandBackReason.TOO_LATE), serverResponse));
  }

  /**
   * Returns the bytes of the body. If {@link RequestFramingHandler} found a framing fault, they end
   * with an error, because the library may signal completion instead.
   */
  private static Flux<ByteBuf> bodyOrFault(HttpServerRequest request) {
    AtomicBoolean faultFound = new AtomicBoolean();
    return request
        .receive()
        .concatWith(
            Mono.defer(
                () -> {
                  request.withConnection(
                      connection ->
                          faultFound.set(RequestFramingHandler.hasBodyFault(connection.channel())));
                  return faultFound.get() ? Mono.error(bodyFault()) : Mono.empty();
                }));
  }

  private static RequestBodyException bodyFault() {
    return new RequestBodyException(
        "Malformed request body: the caller must send all of it, in valid chunks.");
  }

  private Mono<Response> run(
      Call call, HttpServerRequest request, HttpServerResponse serverResponse) {
    setMayRun(request, !call.body().isBuffered());
    return handler
        .handle(call)
        .doOnNext(response -> closeIfBodyUnread(call, response, serverResponse))
        .doFinally(
            signal -> {
              setMayRun(request, false);
              call.body().cancelUnread();
            });
  }

  private static void setMayRun(HttpServerRequest request, boolean value) {
    request.withConnection(
        connection -> connection.channel().attr(ErrorResponseRewriter.MAY_RUN).set(value));
  }

  private static void closeIfBodyUnread(
      Call call, Response response, HttpServerResponse serverResponse) {
    if (response.refusalVerdict().isPresent() && !call.body().isBuffered()) {
      serverResponse.header("connection", "close");
    }
  }

  private static Mono<Response> refuseAndClose(Problem problem, HttpServerResponse serverResponse) {
    return refuseAndClose(Response.of(problem), serverResponse);
  }

  private static Mono<Response> refuseAndClose(
      Response refusal, HttpServerResponse serverResponse) {
    serverResponse.header("connection", "close");
    return Mono.just(refusal);
  }

  private static boolean hasUnknownOutcome(Response response) {
    return response.refusalVerdict().filter(verdict -> verdict == Verdict.UNKNOWN).isPresent();
  }

  private Call createCall(
      IncomingRequestHead incoming, RouteMatch match, CallBody body, long deadlineNanos) {
    HttpHeaders headers = incoming.headers();
    RequestHead head = RequestValidator.forwardedHead(incoming, protocol);
    CallInfo info =
        new CallInfo(
            new CallId(lastCallId.incrementAndGet()),
            match.manifest().manifest().gateway(),
            match.route().name(),
            match.route().service(),
            match.manifest().manifest().tenant(),
            match.route().kind(),
            match.route().weight(),
            match.route().idempotent(),
            deadlineNanos,
            RequestValidator.contentLength(headers),
            match.route().homeRegions(),
            fingerprint(head, body),
            NumericHeaderFields.depth(headers));
    return new Call(
        info,
        match,
        head,
        body,
        Optional.ofNullable(headers.get(HeaderNames.IDEMPOTENCY_KEY)),
        NumericHeaderFields.retriesLeft(headers));
  }

  private static Optional<Digest> fingerprint(RequestHead head, CallBody body) {
    return body.digest()
        .map(digest -> Digest.of(head.method() + "\n" + head.target() + "\n" + digest.hex()));
  }

  /** Signals that the first part of a body did not arrive before the deadline. */
  private static final class BodyTimeoutException extends Exception {
    private static final long serialVersionUID = 1L;

    private BodyTimeoutException() {
      super("timed out", null, false, false);
    }
  }
}
