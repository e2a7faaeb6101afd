package org.radishpost.http;

import io.netty.buffer.ByteBuf;
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
 * Starts pipelined requests when they come in, while the ones before them are still being answered.
 *
 * <p>The server dispatches the requests of a connection one after the other; without this, a
 * request would begin only when all answers before it are written. Answers stay in order, as the
 * server still writes them in turn. One for each connection, behind the codec; used by the
 * connection's thread.
 */
final class PipeliningHandler extends ChannelDuplexHandler {
  private static final AttributeKey<PipeliningHandler> KEY =
      AttributeKey.valueOf("radishpost-early");

  /** The most requests of a connection that wait behind another and run. */
  private static final int MAX_EARLY_REQUESTS = 8;

  private final Function<IncomingRequestHead, Optional<Mono<Response>>> startEarly;
  private final Deque<PendingRequest> pending = new ArrayDeque<>();
  private final Deque<Boolean> outstandingBodiless = new ArrayDeque<>();

  /**
   * Creates it.
   *
   * @param startEarly returns the run of a request that may begin at once, if it may
   */
  PipeliningHandler(Function<IncomingRequestHead, Optional<Mono<Response>>> startEarly) {
    this.startEarly = startEarly;
  }

  /** Returns what is known of a request that is dispatched now. */
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
        next.earlyCall.map(EarlyCall::response), next.closeAfter, laterCallRunning);
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
    context.fireChannelRead(message);
  }

  /**
   * Takes off the caller's wish to close the connection, if others are still to be answered, as the
   * server would close it after the first of their answers.
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
   * Reads may overtake reads, but nothing overtakes a request that may change something, or one
   * that will be refused, as the connection closes after a refusal.
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

  /** A request that was read and not dispatched yet. */
  private record PendingRequest(
      String method, String target, Optional<EarlyCall> earlyCall, boolean closeAfter) {}

  /**
   * What is known of a request when its turn comes.
   *
   * @param earlyResponse its answer, if it was started before
   * @param closeAfter whether the caller wants the connection closed after it
   * @param laterCallRunning whether a request behind it runs already, so that the connection must
   *     stay
   */
  record DispatchInfo(
      Optional<Mono<Response>> earlyResponse, boolean closeAfter, boolean laterCallRunning) {
    private static final DispatchInfo NONE = new DispatchInfo(Optional.empty(), false, false);
  }

  /** A call that was started early. */
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

    /** Ends a call whose answer nobody takes, and lets go of an answer that is there already. */
    private void cancel() {
      subscription.dispose();
      response.asMono().subscribe(unread -> discard(unread), error -> {}).dispose();
    }

    private static void discard(Response unread) {
      unread.body().subscribe(ByteBuf::release, error -> {}).dispose();
    }
  }
}
