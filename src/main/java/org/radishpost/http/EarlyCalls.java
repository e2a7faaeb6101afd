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
final class EarlyCalls extends ChannelDuplexHandler {
  private static final AttributeKey<EarlyCalls> KEY = AttributeKey.valueOf("radishpost-early");

  /** The most requests of a connection that wait behind another and run. */
  private static final int MAX_EARLY = 8;

  private final Function<IncomingHead, Optional<Mono<Reply>>> start;
  private final Deque<Waiting> waiting = new ArrayDeque<>();
  private final Deque<Boolean> unansweredBodiless = new ArrayDeque<>();

  /**
   * Creates it.
   *
   * @param start returns the run of a request that may begin at once, if it may
   */
  EarlyCalls(Function<IncomingHead, Optional<Mono<Reply>>> start) {
    this.start = start;
  }

  /** Returns what is known of a request that is dispatched now. */
  static Turn take(HttpServerRequest request) {
    AtomicReference<EarlyCalls> calls = new AtomicReference<>();
    request.withConnection(connection -> calls.set(connection.channel().attr(KEY).get()));
    return Optional.ofNullable(calls.get())
        .map(known -> known.next(request.method().name(), request.uri()))
        .orElse(Turn.UNKNOWN);
  }

  private Turn next(String method, String target) {
    Waiting next = waiting.poll();
    if (next == null) {
      return Turn.UNKNOWN;
    }
    if (!next.method.equals(method) || !next.target.equals(target)) {
      next.run.ifPresent(Run::cancel);
      cancelAll();
      return Turn.UNKNOWN;
    }
    boolean followed = waiting.stream().anyMatch(entry -> entry.run.isPresent());
    return new Turn(next.run.map(Run::answer), next.lastOne, followed);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    context.channel().attr(KEY).set(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpRequest request && request.decoderResult().isSuccess()) {
      IncomingHead head = IncomingHead.of(request, context.channel());
      waiting.add(came(head, takeClose(request)));
      unansweredBodiless.add(RequestCheck.bodiless(head));
    }
    context.fireChannelRead(message);
  }

  /**
   * Takes off the caller's wish to close the connection, if others are still to be answered, as the
   * server would close it after the first of their answers.
   */
  private boolean takeClose(HttpRequest request) {
    HttpHeaders headers = request.headers();
    if (unansweredBodiless.isEmpty() || !headers.containsValue("connection", "close", true)) {
      return false;
    }
    List<String> options = new ArrayList<>();
    for (String line : headers.getAll("connection")) {
      options.addAll(List.of(line.split(",")));
    }
    options.removeIf(option -> option.strip().equalsIgnoreCase("close"));
    headers.set("connection", String.join(",", options));
    return true;
  }

  private Waiting came(IncomingHead head, boolean lastOne) {
    Optional<Run> run = mayStart(head) ? start.apply(head).map(Run::new) : Optional.empty();
    return new Waiting(head.method(), head.target(), run, lastOne);
  }

  /**
   * Reads may overtake reads, but nothing overtakes a request that may change something, or one
   * that will be refused, as the connection closes after a refusal.
   */
  private boolean mayStart(IncomingHead head) {
    return !unansweredBodiless.isEmpty()
        && !unansweredBodiless.contains(false)
        && waiting.stream().allMatch(entry -> entry.run.isPresent())
        && waiting.size() < MAX_EARLY
        && RequestCheck.bodiless(head);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    boolean interim =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (message instanceof LastHttpContent && !interim) {
      unansweredBodiless.poll();
    }
    context.write(message, promise);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    cancelAll();
    context.fireChannelInactive();
  }

  private void cancelAll() {
    waiting.forEach(entry -> entry.run.ifPresent(Run::cancel));
    waiting.clear();
  }

  /** A request that was read and not dispatched yet. */
  private record Waiting(String method, String target, Optional<Run> run, boolean lastOne) {}

  /**
   * What is known of a request when its turn comes.
   *
   * @param early its answer, if it was started before
   * @param lastOne whether the caller wants the connection closed after it
   * @param followed whether a request behind it runs already, so that the connection must stay
   */
  record Turn(Optional<Mono<Reply>> early, boolean lastOne, boolean followed) {
    private static final Turn UNKNOWN = new Turn(Optional.empty(), false, false);
  }

  /** A call that was started early. */
  private static final class Run {
    private final Sinks.One<Reply> reply = Sinks.one();
    private final Disposable running;

    private Run(Mono<Reply> call) {
      this.running = call.subscribe(reply::tryEmitValue, reply::tryEmitError, reply::tryEmitEmpty);
    }

    private Mono<Reply> answer() {
      return reply.asMono().doOnCancel(running::dispose);
    }

    /** Ends a call whose answer nobody takes, and lets go of an answer that is there already. */
    private void cancel() {
      running.dispose();
      reply.asMono().subscribe(unread -> release(unread), error -> {}).dispose();
    }

    private static void release(Reply unread) {
      unread.body().subscribe(ByteBuf::release, error -> {}).dispose();
    }
  }
}
