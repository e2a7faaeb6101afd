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
 * Serves calls that other VMs forward to the pools that this VM owns.
 *
 * <p>Thread-safe after {@link #start()}. A request without a valid MAC of a link session is
 * refused, and its connection is closed.
 */
public final class HopServer {
  private static final Problem NOT_AUTHENTICATED =
      new Problem(
          403,
          "not-proved",
          "This port is for VMs of the system.",
          "Send the request to the address of an entry.",
          Verdict.NOT_RUN);

  private final Listener listener;
  private final LimitSettings limits;
  private final Scheduler clock;
  private final LoopResources loops;
  private final Supplier<RouteTable> routes;
  private final Links links;
  private final HopHandler handler;
  private final AtomicLong lastCallId;
  private final HopTimestamps timestamps;
  private final InFlightRequests inFlightRequests = new InFlightRequests();

  /**
   * Creates a server that does not listen yet.
   *
   * @param address the address to listen on
   * @param limits limits on the requests
   * @param clock the clock for deadlines
   * @param loops the event loop threads
   * @param routes supplies the current routes
   * @param links the links to other VMs, whose sessions authenticate the calls
   * @param handler processes the calls
   * @param lastCallId the last assigned call ID, incremented for each call
   * @param hybridClock the clock for event timestamps of this VM
   */
  public HopServer(
      Endpoint address,
      LimitSettings limits,
      Scheduler clock,
      LoopResources loops,
      Supplier<RouteTable> routes,
      Links links,
      HopHandler handler,
      AtomicLong lastCallId,
      HybridClock hybridClock) {
    this.listener = new Listener(address);
    this.limits = limits;
    this.clock = clock;
    this.loops = loops;
    this.routes = routes;
    this.links = links;
    this.handler = handler;
    this.lastCallId = lastCallId;
    this.timestamps = new HopTimestamps(hybridClock);
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
            .doOnChannelInit(
                (observer, channel, remote) ->
                    channel
                        .pipeline()
                        .addAfter(
                            NettyPipeline.HttpCodec,
                            ErrorResponseRewriter.class.getName(),
                            new ErrorResponseRewriter())
                        .addAfter(
                            NettyPipeline.HttpCodec,
                            HopIdHandler.class.getName(),
                            new HopIdHandler()))
            .httpRequestDecoder(spec -> spec.maxHeaderSize(2 * limits.headerBytes()))
            .handle(
                (request, serverResponse) ->
                    inFlightRequests.track(handle(request, serverResponse))));
  }

  /** Returns the counter of the requests being processed. */
  public InFlightRequests inFlightRequests() {
    return inFlightRequests;
  }

  /** Closes the listener and all connections. Completes when they are closed. */
  public Mono<Void> stop() {
    return listener.stop();
  }

  private Publisher<Void> handle(HttpServerRequest request, HttpServerResponse serverResponse) {
    HttpHeaders headers = request.requestHeaders();
    Optional<HopRequestFields> head =
        HopRequestFields.read(request.method().name(), request.uri(), headers);
    if (head.isEmpty()) {
      return refuseUnauthenticated(serverResponse);
    }
    long sequence = sequence(headers);
    Optional<LinkSession> session =
        peerId(headers)
            .flatMap(vm -> links.session(vm, headers.get(HeaderNames.HOP_SESSION, "")))
            .filter(found -> isAuthentic(found, sequence, head.get(), headers));
    if (session.isEmpty()) {
      return refuseUnauthenticated(serverResponse);
    }
    VmId peer = session.get().peer();
    timestamps.mergeAndRemove(headers);
    Optional<RouteMatch> match = routes.get().byName(head.get().gateway(), head.get().route());
    if (match.isEmpty()) {
      return respond(
          new CallResult.HandedBack(HandBackReason.NOT_OWNER, Optional.empty()),
          request,
          serverResponse);
    }
    return CallBody.read(request.receive(), limits.replayBytes())
        .map(body -> createCall(head.get(), headers, match.get(), body))
        .flatMap(
            call ->
                handler
                    .handle(
                        call, head.get().pool(), () -> notifyTargetAccepted(call, peer, sequence))
                    .doFinally(signal -> call.body().cancelUnread()))
        .flatMap(result -> Mono.from(respond(result, request, serverResponse)));
  }

  private void notifyTargetAccepted(Call call, VmId peer, long sequence) {
    if (!call.body().isBuffered()) {
      links.sendMessage(peer, new LinkMessage.TargetAccepted(sequence));
    }
  }

  private Publisher<Void> respond(
      CallResult result, HttpServerRequest request, HttpServerResponse serverResponse) {
    final Response response =
        switch (result) {
          case CallResult.Responded responded -> responded.response();
          default -> Responses.text(503, "");
        };
    HttpHeaders hopFields = new DefaultHttpHeaders();
    hopFields.set(HeaderNames.HOP_STAMP, timestamps.next());
    hopFields.set(HeaderNames.HOP_RESULT, HopResult.format(result));
    result
        .view()
        .ifPresent(view -> hopFields.set(HeaderNames.HOP_VIEW, PoolViewHeader.format(view)));
    return ResponseWriter.write(response, request.method().name(), serverResponse, hopFields);
  }

  private static Publisher<Void> refuseUnauthenticated(HttpServerResponse serverResponse) {
    serverResponse.header("connection", "close");
    HttpHeaders hopFields = new DefaultHttpHeaders();
    hopFields.set(HeaderNames.HOP_RESULT, HopResult.NOT_AUTHENTICATED);
    return ResponseWriter.write(Response.of(NOT_AUTHENTICATED), "GET", serverResponse, hopFields);
  }

  private static Optional<VmId> peerId(HttpHeaders headers) {
    try {
      return Optional.of(new VmId(HopRequestFields.decode(headers.get(HeaderNames.HOP_VM, ""))));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static boolean isAuthentic(
      LinkSession session, long sequence, HopRequestFields head, HttpHeaders headers) {
    String mac = headers.get(HeaderNames.HOP_MAC, "");
    return mac.length() == 64
        && session.verify(sequence, head.authenticatedText(), new Digest(mac));
  }

  private static long sequence(HttpHeaders headers) {
    try {
      return Long.parseLong(headers.get(HeaderNames.HOP_SEQUENCE, "0"));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private Call createCall(
      HopRequestFields head, HttpHeaders headers, RouteMatch match, CallBody body) {
    HttpHeaders endToEndFields = RequestValidator.endToEndFields(headers);
    long deadlineNanos =
        clock.now(TimeUnit.NANOSECONDS) + TimeUnit.MILLISECONDS.toNanos(head.remainingMillis());
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
            head.fingerprint(),
            head.depth());
    return new Call(
        info,
        match,
        new RequestHead(head.method(), head.target(), endToEndFields),
        body,
        head.idempotencyKey(),
        head.retriesLeft());
  }
}
