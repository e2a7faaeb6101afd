package org.radishpost.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.radishpost.admission.RetryAllowance;
import org.radishpost.errors.AnswerTimeoutException;
import org.radishpost.errors.ConnectionDiedException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.RequestBodyException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.http.Call;
import org.radishpost.http.CallBody;
import org.radishpost.http.CallResult;
import org.radishpost.http.CallSender;
import org.radishpost.http.HeaderNames;
import org.radishpost.http.LoadReportHeader;
import org.radishpost.http.RequestHead;
import org.radishpost.http.Response;
import org.radishpost.lib.CallId;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Verdict;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.LoadReport;
import org.radishpost.pool.Pool;
import org.radishpost.pool.PoolAction;
import org.radishpost.pool.PoolView;
import org.radishpost.pool.TargetOutcome;
import org.radishpost.pool.TargetState;
import org.radishpost.pool.TargetStatus;
import org.radishpost.routing.PoolSpec;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.SignalType;
import reactor.core.scheduler.Scheduler;

/**
 * Carries out what a pool decides: sends calls to targets and tells the pool how they ended.
 *
 * <p>Thread-safe: decisions are made one at a time, their actions are carried out outside the lock.
 */
final class PoolRunner {
  /** A body up to this size is read whole before the answer goes on, so that a cut is a failure. */
  private static final int WHOLE_ANSWER_BYTES = 65_536;

  private static final Duration PROBE_LIMIT = Duration.ofMillis(500);

  private final Pool pool;
  private final CallSender sender;
  private final Scheduler clock;
  private final EventSink events;
  private final Map<CallId, Pending> pending = new ConcurrentHashMap<>();
  private volatile PoolSpec spec;

  PoolRunner(Pool pool, CallSender sender, Scheduler clock, EventSink events) {
    this.pool = pool;
    this.sender = sender;
    this.clock = clock;
    this.events = events;
  }

  /** Sets the targets; the same ones again change nothing. */
  void configure(PoolSpec wanted) {
    if (wanted.equals(spec)) {
      return;
    }
    spec = wanted;
    decide(out -> pool.configure(wanted.service(), wanted.targets(), now(), out));
  }

  /**
   * Runs a call on one of the pool's targets.
   *
   * @param call the call
   * @param watch hears whether the call is sent
   * @return how it ended, never an error; cancelling withdraws the call
   */
  Mono<CallResult> submit(Call call, SendWatch watch) {
    return Mono.create(
        sink -> {
          Pending entry = new Pending(call, watch, sink);
          pending.put(call.facts().id(), entry);
          sink.onCancel(() -> withdraw(entry));
          decide(out -> pool.offer(call.facts(), now(), out));
        });
  }

  /** Takes note that the last connection to a target was closed, if it is one of the pool's. */
  void closed(Endpoint target) {
    PoolSpec known = spec;
    boolean own =
        known != null && known.targets().stream().anyMatch(t -> t.address().equals(target));
    if (own) {
      decide(out -> pool.idleConnectionsClosed(target, now(), out));
    }
  }

  void tick() {
    decide(out -> pool.tick(now(), out));
  }

  void release() {
    decide(out -> pool.release(now(), out));
  }

  PoolView view() {
    synchronized (pool) {
      return pool.view(now());
    }
  }

  List<TargetStatus> targets() {
    synchronized (pool) {
      return pool.targetStatuses(now());
    }
  }

  boolean idle() {
    return pending.isEmpty();
  }

  private void withdraw(Pending entry) {
    if (!entry.decided.compareAndSet(false, true)) {
      entry.sending.dispose();
      return;
    }
    pending.remove(entry.call.facts().id(), entry);
    entry.watch.withdrawn();
    decide(out -> pool.removeQueued(entry.call.facts().id(), now(), out));
  }

  private void decide(Consumer<Consumer<PoolAction>> decision) {
    List<PoolAction> actions = new ArrayList<>(2);
    synchronized (pool) {
      decision.accept(actions::add);
    }
    actions.forEach(this::perform);
  }

  private void perform(PoolAction action) {
    switch (action) {
      case PoolAction.Send send -> send(send);
      case PoolAction.HandBack back -> handBack(back.call(), back.reason());
      case PoolAction.Probe probe -> probe(probe.target());
      case PoolAction.CloseIdleConnections close -> sender.closeIdle(close.target());
      case PoolAction.OpenIdleConnections open -> {}
      case PoolAction.StateChanged change -> changed(change);
    }
  }

  private void changed(PoolAction.StateChanged change) {
    EventCode code =
        change.to() == TargetState.EJECTED
            ? EventCode.TARGET_EJECTED
            : EventCode.TARGET_STATE_CHANGED;
    events.emit(
        code,
        EventField.of("target", change.target()),
        EventField.of("from", change.from()),
        EventField.of("to", change.to()));
  }

  private void handBack(CallId id, HandBackReason reason) {
    Pending entry = pending.remove(id);
    if (entry != null) {
      entry.sink.success(new CallResult.HandedBack(reason, Optional.of(view())));
    }
  }

  private void probe(Endpoint target) {
    RequestHead head = RequestHead.get(spec.service().probe().path());
    sender
        .send(target, head, CallBody.buffered(new byte[0]), PROBE_LIMIT)
        .flatMap(reply -> reply.body().doOnNext(ByteBuf::release).then(Mono.just(reply)))
        .map(PoolRunner::report)
        .onErrorReturn(Optional.empty())
        .subscribe(report -> decide(out -> pool.probeCompleted(target, report, now(), out)));
  }

  private void send(PoolAction.Send action) {
    CallId id = action.call().id();
    Pending entry = pending.get(id);
    if (entry == null || !entry.decided.compareAndSet(false, true)) {
      ended(id, new TargetOutcome.Cancelled());
      return;
    }
    long left = action.call().deadlineNanos() - now();
    if (left <= 0) {
      pending.remove(id);
      ended(id, new TargetOutcome.Cancelled());
      entry.sink.success(new CallResult.HandedBack(HandBackReason.TOO_LATE, Optional.of(view())));
      return;
    }
    entry.target = Optional.of(action.target());
    entry.watch.taken();
    entry.call.body().allowRemainder();
    RequestHead head = onward(entry.call, left);
    long start = now();
    Disposable running =
        sender
            .send(action.target(), head, entry.call.body(), Duration.ofNanos(left))
            .doOnCancel(() -> cancelled(entry))
            .flatMap(reply -> whole(reply, left))
            .subscribe(
                received -> answered(entry, received, now() - start, left),
                error -> failed(entry, error));
    entry.sending.add(running);
  }

  private static RequestHead onward(Call call, long leftNanos) {
    return call.head()
        .withField(
            HeaderNames.DEADLINE_MILLIS,
            String.valueOf(Math.max(1, TimeUnit.NANOSECONDS.toMillis(leftNanos))))
        .withField(HeaderNames.DEPTH, String.valueOf(call.facts().depth() + 1))
        .withField(
            HeaderNames.RETRIES_LEFT,
            String.valueOf(new RetryAllowance(call.retriesLeft()).forwarded().remaining()));
  }

  private Mono<Received> whole(Response reply, long leftNanos) {
    if (contentLength(reply) > WHOLE_ANSWER_BYTES) {
      return Mono.just(new Received(reply, false));
    }
    return reply
        .body()
        .collect(ByteArrayOutputStream::new, PoolRunner::append)
        .timeout(Duration.ofNanos(leftNanos), clock)
        .map(ByteArrayOutputStream::toByteArray)
        .map(bytes -> new Received(reply.withBody(Flux.just(Unpooled.wrappedBuffer(bytes))), true));
  }

  private static void append(ByteArrayOutputStream all, ByteBuf part) {
    all.writeBytes(ByteBufUtil.getBytes(part));
    part.release();
  }

  private static Optional<LoadReport> report(Response reply) {
    return Optional.ofNullable(reply.headers().get(LoadReportHeader.NAME))
        .flatMap(LoadReportHeader::parse);
  }

  private static long contentLength(Response reply) {
    String length = reply.headers().get("content-length");
    return length == null ? Long.MAX_VALUE : Long.parseLong(length);
  }

  private void cancelled(Pending entry) {
    if (pending.remove(entry.call.facts().id(), entry)) {
      ended(entry.call.facts().id(), new TargetOutcome.Cancelled());
    }
  }

  private void answered(Pending entry, Received received, long serviceNanos, long leftNanos) {
    Response reply = received.reply();
    CallId id = entry.call.facts().id();
    if (!pending.remove(id, entry)) {
      reply.body().subscribe(ByteBuf::release);
      return;
    }
    Optional<LoadReport> report = report(reply);
    boolean shed =
        reply.status() == 503
            && Verdict.NOT_RUN.text().equals(reply.headers().get(HeaderNames.OUTCOME));
    if (shed) {
      reply.body().subscribe(ByteBuf::release, error -> {});
      ended(id, new TargetOutcome.Shed(report));
      entry.sink.success(new CallResult.HandedBack(HandBackReason.NO_TARGET, Optional.of(view())));
      return;
    }
    if (received.whole()) {
      ended(id, new TargetOutcome.Responded(reply.status(), report, serviceNanos));
      entry.sink.success(new CallResult.Responded(reply, Optional.of(view())));
      return;
    }
    AtomicBoolean over = new AtomicBoolean();
    Flux<ByteBuf> body =
        reply
            .body()
            .takeUntilOther(limit(leftNanos - serviceNanos))
            .doFinally(
                signal -> {
                  if (over.compareAndSet(false, true)) {
                    ended(id, outcome(signal, reply.status(), report, serviceNanos));
                  }
                });
    entry.sink.success(new CallResult.Responded(reply.withBody(body), Optional.of(view())));
  }

  private Mono<Void> limit(long leftNanos) {
    return Mono.delay(Duration.ofNanos(Math.max(0, leftNanos)), clock)
        .then(
            Mono.error(
                () ->
                    new AnswerTimeoutException(
                        "The answer did not end before the deadline: allow it more time.")));
  }

  private static TargetOutcome outcome(
      SignalType signal, int status, Optional<LoadReport> report, long serviceNanos) {
    return switch (signal) {
      case ON_COMPLETE -> new TargetOutcome.Responded(status, report, serviceNanos);
      case CANCEL -> new TargetOutcome.Cancelled();
      default -> new TargetOutcome.ConnectionLost(false);
    };
  }

  private void failed(Pending entry, Throwable error) {
    CallId id = entry.call.facts().id();
    if (!pending.remove(id, entry)) {
      return;
    }
    RadishpostException cause =
        error instanceof RadishpostException known
            ? known
            : new ConnectionDiedException("The answer was lost: look at the target's log.", error);
    switch (cause) {
      case NotConnectedException notConnected -> {
        ended(id, new TargetOutcome.NotConnected());
        entry.sink.success(
            new CallResult.HandedBack(HandBackReason.NO_TARGET, Optional.of(view())));
      }
      case AnswerTimeoutException timeout -> {
        ended(id, new TargetOutcome.TimedOut());
        entry.sink.success(new CallResult.Lost(timeout, Optional.of(view())));
      }
      case RequestBodyException body -> {
        ended(id, new TargetOutcome.Cancelled());
        entry.sink.success(new CallResult.Lost(body, Optional.of(view())));
      }
      default -> {
        ended(id, new TargetOutcome.ConnectionLost(alone(entry)));
        entry.sink.success(new CallResult.Lost(cause, Optional.of(view())));
      }
    }
  }

  private boolean alone(Pending entry) {
    return pending.values().stream().noneMatch(other -> entry.target.equals(other.target));
  }

  private void ended(CallId id, TargetOutcome outcome) {
    decide(out -> pool.callEnded(id, outcome, now(), out));
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }

  /**
   * An answer with all of its body in memory, or one whose body is still to come.
   *
   * @param reply the answer
   * @param whole whether all of it is here
   */
  private record Received(Response reply, boolean whole) {}

  /** A call that waits for a target or runs on one. */
  private static final class Pending {
    private final Call call;
    private final SendWatch watch;
    private final MonoSink<CallResult> sink;
    private final AtomicBoolean decided = new AtomicBoolean();
    private volatile Optional<Endpoint> target = Optional.empty();
    private final Disposable.Composite sending = Disposables.composite();

    private Pending(Call call, SendWatch watch, MonoSink<CallResult> sink) {
      this.call = call;
      this.watch = watch;
      this.sink = sink;
    }
  }
}
