package org.radishpost.http;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.http.server.HttpServerRequest;

/**
 * Starts pipelined requests as soon as they arrive, before the responses to the previous ones are
 * written.
 *
 * <p>The server dispatches the requests of a connection one at a time, so without this handler a
 * request would start only after all previous responses have been written. Responses remain in
 * request order because the server still writes them one at a time. There is one instance per
 * connection, placed after the codec and used by the event loop thread of the connection.
 */
final class PipeliningHandler extends ChannelDuplexHandler {
  private static final AttributeKey<PipeliningHandler> KEY =
      AttributeKey.valueOf("radishpost-early");

  /** The maximum number of requests per connection that run before they are dispatched. */
  private static final int MAX_EARLY_REQUESTS = 8;

  private final Function<IncomingRequestHead, Optional<Mono<Response>>> startEarly;
  private final Deque<PendingRequest> pending = new ArrayDeque<>();
  private final Deque<Boolean> outstandingBodiless = new ArrayDeque<>();
  private boolean forwarding;

  /**
   * Creates a handler for one connection.
   *
   * @param startEarly starts the call for a request and returns its response; returns empty if the
   *     request must not start before it is dispatched
   */
  PipeliningHandler(Function<IncomingRequestHead, Optional<Mono<Response>>> startEarly) {
    this.startEarly = startEarly;
  }

  /**
   * Removes a request that is being dispatched from the pending requests, and returns its state.
   */
  static DispatchInfo dispatch(HttpServerRequest request) {
    AtomicReference<PipeliningHandler> handler = new AtomicReference<>();
    request.withConnection(connection -> handler.set(connection.channel().attr(KEY).get()));
    return Optional.ofNullable(handler.get())
        .map(found -> found.pollPending(request.method().name(), request.uri()))
        .orElse(DispatchInfo.NONE);
  }

  private DispatchInfo pollPending(String method, String target) {
    PendingRequest next = pending.poll();
    if (next == null) {
      return DispatchInfo.NONE;
    }
    if (!next.method.equals(method) || !next.target.equals(target)) {
      next.earlyCall.ifPresent(EarlyCall::cancel);
      cancelAll();
      return DispatchInfo.NONE;
    }
    boolean laterCallRunning = pending.stream().anyMatch(entry -> entry.earlyCall.isPresent());
    return new DispatchInfo(
        next.earlyCall.map(EarlyCall::response), next.closeAfter, laterCallRunning, !forwarding);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    context.channel().attr(KEY).set(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest request && request.decoderResult().isSuccess()) {
      IncomingRequestHead head = IncomingRequestHead.of(request, context.channel());
      pending.add(toPendingRequest(head, removeConnectionClose(request)));
      outstandingBodiless.add(RequestValidator.hasBodilessMethod(head));
    }
    forwarding = true;
    try {
      context.fireChannelRead(message);
    } finally {
      forwarding = false;
    }
  }

  /**
   * Removes the {@code close} option from the Connection field if earlier responses are
   * outstanding, because the server would close the connection after the first of them.
   *
   * @return whether the option was removed
   */
  private boolean removeConnectionClose(HttpRequest request) {
    HttpHeaders headers = request.headers();
    if (outstandingBodiless.isEmpty() || !headers.containsValue("connection", "close", true)) {
      return false;
    }
    List<String> options = new ArrayList<>();
    for (String value : headers.getAll("connection")) {
      options.addAll(List.of(value.split(",")));
    }
    options.removeIf(option -> option.strip().equalsIgnoreCase("close"));
    headers.set("connection", String.join(",", options));
    return true;
  }

  private PendingRequest toPendingRequest(IncomingRequestHead head, boolean closeAfter) {
    Optional<EarlyCall> earlyCall =
        canStartEarly(head) ? startEarly.apply(head).map(EarlyCall::new) : Optional.empty();
    return new PendingRequest(head.method(), head.target(), earlyCall, closeAfter);
  }

  /**
   * Returns whether the request may start before the previous ones have completed.
   *
   * <p>Only a GET or HEAD request may start early, and only behind other such requests, because a
   * request with another method may change state. No request starts early behind one that will be
   * refused, because the connection closes after a refusal.
   */
  private boolean canStartEarly(IncomingRequestHead head) {
    return !outstandingBodiless.isEmpty()
        && !outstandingBodiless.contains(false)
        && pending.stream().allMatch(entry -> entry.earlyCall.isPresent())
        && pending.size() < MAX_EARLY_REQUESTS
        && RequestValidator.hasBodilessMethod(head);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    boolean interim =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (message instanceof LastHttpContent && !interim) {
      outstandingBodiless.poll();
    }
    context.write(message, promise);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancelAll();
    context.fireChannelInactive();
  }

  private void cancelAll() {
    pending.forEach(entry -> entry.earlyCall.ifPresent(EarlyCall::cancel));
    pending.clear();
  }

  /** A request that has been read but not dispatched. */
  private record PendingRequest(
      String method, String target, Optional<EarlyCall> earlyCall, boolean closeAfter) {}

  /**
   * The state of a request when it is dispatched.
   *
   * @param earlyResponse its response, if the call was started early
   * @param closeAfter whether the caller requested to close the connection after this request
   * @param laterCallRunning whether a later request is already running, which means that the
   *     connection must stay open
   * @param queued whether the server had queued the request behind others. Its end may still be in
   *     that queue
   */
  record DispatchInfo(
      Optional<Mono<Response>> earlyResponse,
      boolean closeAfter,
      boolean laterCallRunning,
      boolean queued) {
    private static final DispatchInfo NONE = new DispatchInfo(Optional.empty(), false, false, true);
  }

  /** A call that was started before its request was dispatched. */
  private static final class EarlyCall {
    private final Sinks.One<Response> response = Sinks.one();
    private final Disposable subscription;

    private EarlyCall(Mono<Response> call) {
      this.subscription =
          call.subscribe(response::tryEmitValue, response::tryEmitError, response::tryEmitEmpty);
    }

    private Mono<Response> response() {
      return response.asMono().doOnCancel(subscription::dispose);
    }

    /** Cancels the call, and releases its response if there already is one. */
    private void cancel() {
      subscription.dispose();
      response.asMono().subscribe(Response::dropUnread, error -> {}).dispose();
    }
  }
}
