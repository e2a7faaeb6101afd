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
import org.reactivestreams.Publisher;
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
 * Takes callers' requests: checks them, finds the route and writes the answer.
 *
 * <p>Thread-safe after {@link #start()}.
 */
public final class EdgeServer {
  private static final byte[] NO_BYTES = new byte[0];

  private final Listener listener;
  private final EdgeDialect dialect;
  private final EdgeAdmission admission;
  private final LimitSettings limits;
  private final Scheduler clock;
  private final LoopResources loops;
  private final Readiness readiness;
  private final CallHandler handler;
  private final AtomicLong calls;
  private final ConnectionLimit connections;
  private final InFlight inFlight = new InFlight();

  /**
   * Creates a server.
   *
   * @param address where it listens
   * @param dialect how callers speak to it
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
      EdgeDialect dialect,
      RegionName region,
      LimitSettings limits,
      Scheduler clock,
      LoopResources loops,
      Supplier<RouteTable> routes,
      Readiness readiness,
      CallHandler handler,
      AtomicLong calls) {
    this.listener = new Listener(address);
    this.dialect = dialect;
    this.admission = new EdgeAdmission(dialect, region, routes, readiness);
    this.limits = limits;
    this.clock = clock;
    this.loops = loops;
    this.readiness = readiness;
    this.handler = handler;
    this.calls = calls;
    this.connections = new ConnectionLimit(limits);
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
            .idleTimeout(limits.slowSenderTimeout())
            .doOnChannelInit((observer, channel, remote) -> guard(channel))
            .httpRequestDecoder(spec -> spec.maxHeaderSize(limits.headerBytes()))
            .handle((request, response) -> inFlight.counted(handle(request, response))));
  }

  /** Stops listening; connections that are open stay so until {@link #stop()}. */
  public void refuseConnections() {
    listener.refuse();
  }

  /** Returns the counter of the requests that are worked on. */
  public InFlight inFlight() {
    return inFlight;
  }

  /** Closes everything; ends when it is closed. */
  public Mono<Void> stop() {
    return listener.stop();
  }

  private void guard(Channel channel) {
    if (!connections.admit(channel)) {
      channel.close();
      return;
    }
    channel
        .pipeline()
        .addFirst(new FramingGuard(NettyPipeline.HttpCodec, clock, limits.slowSenderTimeout()))
        .addAfter(NettyPipeline.HttpCodec, LibraryAnswers.class.getName(), new LibraryAnswers())
        .addAfter(
            NettyPipeline.HttpCodec, EarlyCalls.class.getName(), new EarlyCalls(this::runEarly));
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    EarlyCalls.Turn turn = EarlyCalls.take(request);
    if (turn.lastOne()) {
      response.header("connection", "close");
    }
    if (request.uri().equals(Readiness.PATH)) {
      return ReplyWriter.write(readiness.reply(), request.method().name(), response);
    }
    if (!readiness.keepAlive() && !turn.followed()) {
      response.header("connection", "close");
    }
    if (turn.early().isPresent()) {
      return turn.early()
          .get()
          .flatMap(reply -> Mono.from(ReplyWriter.write(reply, request.method().name(), response)));
    }
    IncomingHead head = IncomingHead.of(request);
    return switch (admission.decide(head)) {
      case EdgeAdmission.Decision.Refused refused ->
          ReplyWriter.refuseAndClose(refused.reply(), response);
      case EdgeAdmission.Decision.Taken taken -> serve(request, response, head, taken.match());
    };
  }

  /** Returns the run of a request that is still behind others, if it may begin before its turn. */
  private Optional<Mono<Reply>> runEarly(IncomingHead head) {
    if (head.target().equals(Readiness.PATH)
        || !readiness.keepAlive()
        || !(admission.decide(head) instanceof EdgeAdmission.Decision.Taken taken)
        || !taken.match().route().idempotent()) {
      return Optional.empty();
    }
    Call call = call(head, taken.match(), CallBody.whole(NO_BYTES), deadline(head, taken.match()));
    return Optional.of(handler.handle(call).doFinally(signal -> call.body().drop()));
  }

  private long deadline(IncomingHead head, RouteMatch match) {
    return clock.now(TimeUnit.NANOSECONDS) + admission.limit(head, match).toNanos();
  }

  private Mono<Void> serve(
      HttpServerRequest request, HttpServerResponse response, IncomingHead head, RouteMatch match) {
    Duration limit = admission.limit(head, match);
    long deadline = deadline(head, match);
    AtomicBoolean excess = new AtomicBoolean();
    Flux<ByteBuf> bytes =
        BodyTooLarge.bound(
            wholeBody(request), match.route().maxBodyBytes(), () -> excess.set(true));
    return CallBody.read(bytes, limits.replayBytes())
        .timeout(limit, Mono.error(BodyTooLate::new), clock)
        .map(body -> call(head, match, body, deadline))
        .flatMap(call -> run(call, request, response))
        .map(
            reply ->
                excess.get() && lost(reply)
                    ? Reply.of(EdgeAdmission.tooLarge(match, Verdict.UNKNOWN))
                    : reply)
        .onErrorResume(
            BodyTooLarge.class,
            error -> refused(EdgeAdmission.tooLarge(match, Verdict.NOT_RUN), response))
        .onErrorResume(
            BodyTooLate.class,
            error -> refused(Problems.handedBack(HandBackReason.TOO_LATE), response))
        .flatMap(reply -> Mono.from(ReplyWriter.write(reply, head.method(), response)));
  }

  /** Returns the bytes of the body; an error ends them if they broke off, and not a mere end. */
  private static Flux<ByteBuf> wholeBody(HttpServerRequest request) {
    AtomicBoolean broken = new AtomicBoolean();
    return request
        .receive()
        .concatWith(
            Mono.defer(
                () -> {
                  request.withConnection(
                      connection -> broken.set(FramingGuard.brokenBody(connection.channel())));
                  return broken.get() ? Mono.error(brokenOff()) : Mono.empty();
                }));
  }

  private static RequestBodyException brokenOff() {
    return new RequestBodyException(
        "The body broke off: let the caller send it whole, in well-formed chunks.");
  }

  private Mono<Reply> run(Call call, HttpServerRequest request, HttpServerResponse response) {
    mayRun(request, !call.body().isWhole());
    return handler
        .handle(call)
        .doOnNext(reply -> closeIfUnread(call, reply, response))
        .doFinally(
            signal -> {
              mayRun(request, false);
              call.body().drop();
            });
  }

  private static void mayRun(HttpServerRequest request, boolean value) {
    request.withConnection(
        connection -> connection.channel().attr(LibraryAnswers.MAY_RUN).set(value));
  }

  private static void closeIfUnread(Call call, Reply reply, HttpServerResponse response) {
    if (reply.refusal().isPresent() && !call.body().isWhole()) {
      response.header("connection", "close");
    }
  }

  private static Mono<Reply> refused(Problem problem, HttpServerResponse response) {
    response.header("connection", "close");
    return Mono.just(Reply.of(problem));
  }

  private static boolean lost(Reply reply) {
    return reply.refusal().filter(verdict -> verdict == Verdict.UNKNOWN).isPresent();
  }

  private Call call(IncomingHead incoming, RouteMatch match, CallBody body, long deadline) {
    HttpHeaders headers = incoming.headers();
    RequestHead head = RequestCheck.onward(incoming, dialect);
    CallInfo info =
        new CallInfo(
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
            EdgeNumbers.depth(headers));
    return new Call(
        info,
        match,
        head,
        body,
        Optional.ofNullable(headers.get(HeaderNames.IDEMPOTENCY_KEY)),
        EdgeNumbers.retriesLeft(headers));
  }

  private static Optional<Digest> fingerprint(RequestHead head, CallBody body) {
    return body.digest()
        .map(digest -> Digest.of(head.method() + "\n" + head.target() + "\n" + digest.hex()));
  }

  /** Ends the wait for the first part of a body. */
  private static final class BodyTooLate extends Exception {
    private static final long serialVersionUID = 1L;

    private BodyTooLate() {
      super("time limit", null, false, false);
    }
  }
}
