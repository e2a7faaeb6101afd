package org.radishpost.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.radishpost.errors.StartException;
import org.radishpost.events.HybridClock;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Verdict;
import org.radishpost.lib.VmId;
import org.radishpost.link.LinkMessage;
import org.radishpost.link.LinkSession;
import org.radishpost.link.Links;
import org.radishpost.pool.HandBackReason;
import org.radishpost.routing.RouteMatch;
import org.radishpost.routing.RouteTable;
import org.radishpost.settings.NodeSettings.LimitSettings;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.NettyPipeline;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.resources.LoopResources;

/**
 * Takes calls from other VMs for the pools that this VM owns.
 *
 * <p>Thread-safe after {@link #start()}. A request without the proof of a session gets nothing but
 * a closed connection.
 */
public final class HopServer {
  private static final Problem NOT_PROVED =
      new Problem(
          403,
          "not-proved",
          "This port is for VMs of the system.",
          "Use an entry's address.",
          Verdict.NOT_RUN);

  private final Listener listener;
  private final LimitSettings limits;
  private final Scheduler clock;
  private final LoopResources loops;
  private final Supplier<RouteTable> routes;
  private final Links links;
  private final HopHandler handler;
  private final AtomicLong calls;
  private final HopStamps stamps;
  private final InFlight inFlight = new InFlight();

  /**
   * Creates a server.
   *
   * @param address where it listens
   * @param limits bounds on what it takes
   * @param clock the clock for deadlines
   * @param loops the threads
   * @param routes the routes in force
   * @param links the links, whose sessions prove the calls
   * @param handler who runs the calls
   * @param calls the source of call numbers
   * @param stamps the clock of this VM's time line
   */
  public HopServer(
      Endpoint address,
      LimitSettings limits,
      Scheduler clock,
      LoopResources loops,
      Supplier<RouteTable> routes,
      Links links,
      HopHandler handler,
      AtomicLong calls,
      HybridClock stamps) {
    this.listener = new Listener(address);
    this.limits = limits;
    this.clock = clock;
    this.loops = loops;
    this.routes = routes;
    this.links = links;
    this.handler = handler;
    this.calls = calls;
    this.stamps = new HopStamps(stamps);
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
            .doOnChannelInit(
                (observer, channel, remote) ->
                    channel
                        .pipeline()
                        .addAfter(
                            NettyPipeline.HttpCodec,
                            LibraryAnswers.class.getName(),
                            new LibraryAnswers()))
            .httpRequestDecoder(spec -> spec.maxHeaderSize(2 * limits.headerBytes()))
            .handle((request, response) -> inFlight.counted(handle(request, response))));
  }

  /** Returns the counter of the requests that are worked on. */
  public InFlight inFlight() {
    return inFlight;
  }

  /** Closes everything; ends when it is closed. */
  public Mono<Void> stop() {
    return listener.stop();
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse response) {
    HttpHeaders headers = request.requestHeaders();
    Optional<HopHead> head = HopHead.read(request.method().name(), request.uri(), headers);
    if (head.isEmpty()) {
      return notProved(response);
    }
    long sequence = sequence(headers);
    Optional<LinkSession> session =
        peer(headers)
            .flatMap(vm -> links.session(vm, headers.get(HeaderNames.HOP_SESSION, "")))
            .filter(found -> accepted(found, sequence, head.get(), headers));
    if (session.isEmpty()) {
      return notProved(response);
    }
    VmId peer = session.get().peer();
    stamps.take(headers);
    Optional<RouteMatch> match = routes.get().byName(head.get().gateway(), head.get().route());
    if (match.isEmpty()) {
      return answer(
          new CallResult.HandedBack(HandBackReason.NOT_OWNER, Optional.empty()), request, response);
    }
    return CallBody.read(request.receive(), limits.replayBytes())
        .map(body -> call(head.get(), headers, match.get(), body))
        .flatMap(
            call ->
                handler
                    .handle(call, head.get().pool(), () -> taken(call, peer, sequence))
                    .doFinally(signal -> call.body().drop()))
        .flatMap(result -> Mono.from(answer(result, request, response)));
  }

  private void taken(Call call, VmId peer, long sequence) {
    if (!call.body().isWhole()) {
      links.tell(peer, new LinkMessage.CallTaken(sequence));
    }
  }

  private Publisher<Void> answer(
      CallResult result, HttpServerRequest request, HttpServerResponse response) {
    final Reply reply =
        switch (result) {
          case CallResult.Answered answered -> answered.reply();
          default -> Replies.text(503, "");
        };
    HttpHeaders fields = new DefaultHttpHeaders();
    fields.set(HeaderNames.HOP_STAMP, stamps.next());
    fields.set(HeaderNames.HOP_RESULT, HopResult.format(result));
    result.view().ifPresent(view -> fields.set(HeaderNames.HOP_VIEW, PoolViewHeader.format(view)));
    return ReplyWriter.write(reply, request.method().name(), response, fields);
  }

  private static Publisher<Void> notProved(HttpServerResponse response) {
    response.header("connection", "close");
    HttpHeaders fields = new DefaultHttpHeaders();
    fields.set(HeaderNames.HOP_RESULT, HopResult.NOT_PROVED);
    return ReplyWriter.write(Reply.of(NOT_PROVED), "GET", response, fields);
  }

  private static Optional<VmId> peer(HttpHeaders headers) {
    try {
      return Optional.of(new VmId(HopHead.decoded(headers.get(HeaderNames.HOP_VM, ""))));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static boolean accepted(
      LinkSession session, long sequence, HopHead head, HttpHeaders headers) {
    String proof = headers.get(HeaderNames.HOP_PROOF, "");
    return proof.length() == 64 && session.accept(sequence, head.text(), new Digest(proof));
  }

  private static long sequence(HttpHeaders headers) {
    try {
      return Long.parseLong(headers.get(HeaderNames.HOP_SEQUENCE, "0"));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private Call call(HopHead head, HttpHeaders headers, RouteMatch match, CallBody body) {
    HttpHeaders kept = RequestCheck.endToEnd(headers);
    long deadline =
        clock.now(TimeUnit.NANOSECONDS) + TimeUnit.MILLISECONDS.toNanos(head.leftMillis());
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
            head.fingerprint(),
            head.depth());
    return new Call(
        info,
        match,
        new RequestHead(head.method(), head.target(), kept),
        body,
        head.idempotencyKey(),
        head.retriesLeft());
  }
}
