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
import org.radishpost.errors.ConnectionLostException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.errors.RequestBodyException;
import org.radishpost.errors.ResponseTimeoutException;
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
 * Performs the actions of a pool: sends calls to targets and reports to the pool how they ended.
 *
 * <p>Thread-safe: the pool decides under a lock; its actions are performed outside the lock.
 */
final class PoolRunner {
  /**
   * A response body up to this length is buffered before the response is forwarded, so that a
   * truncated body is a failure of the call.
   */
  private static final int MAX_BUFFERED_BODY_BYTES = 65_536;

  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(500);

  private final Pool pool;
  private final CallSender sender;
  private final Scheduler clock;
  private final EventSink events;
  private final Map<CallId, PendingCall> pendingCalls = new ConcurrentHashMap<>();
  private volatile PoolSpec spec;

  PoolRunner(Pool pool, CallSender sender, Scheduler clock, EventSink events) {
    this.pool = pool;
    this.sender = sender;
    this.clock = clock;
    this.events = events;
  }

  /** Sets the service and the targets; has no effect if they are unchanged. */
  void configure(PoolSpec newSpec) {
    if (newSpec.equals(spec)) {
      return;
    }
    spec = newSpec;
    decideAndPerform(
        actions -> pool.configure(newSpec.service(), newSpec.targets(), nowNanos(), actions));
  }

  /**
   * Runs a call on one of the pool's targets.
   *
   * @param call the call
   * @param listener notified when the call is sent or withdrawn
   * @return the result, never an error; cancelling withdraws the call, or aborts it if it was sent
   */
  Mono<CallResult> submit(Call call, SendListener listener) {
    return Mono.create(
        sink -> {
          PendingCall pendingCall = new PendingCall(call, listener, sink);
          pendingCalls.put(call.info().id(), pendingCall);
          sink.onCancel(() -> withdraw(pendingCall));
          decideAndPerform(actions -> pool.offer(call.info(), nowNanos(), actions));
        });
  }

  /** Notifies the pool that the last connection to a target was closed; ignores other targets. */
  void connectionsClosed(Endpoint target) {
    PoolSpec currentSpec = spec;
    boolean inPool =
        currentSpec != null
            && currentSpec.targets().stream().anyMatch(t -> t.address().equals(target));
    if (inPool) {
      decideAndPerform(actions -> pool.idleConnectionsClosed(target, nowNanos(), actions));
    }
  }

  void tick() {
    decideAndPerform(actions -> pool.tick(nowNanos(), actions));
  }

  void release() {
    decideAndPerform(actions -> pool.release(nowNanos(), actions));
  }

  PoolView view() {
    synchronized (pool) {
      return pool.view(nowNanos());
    }
  }

  List<TargetStatus> targetStatuses() {
    synchronized (pool) {
      return pool.targetStatuses(nowNanos());
    }
  }

  boolean isIdle() {
    return pendingCalls.isEmpty();
  }

  private void withdraw(PendingCall pendingCall) {
    if (!pendingCall.sentOrWithdrawn.compareAndSet(false, true)) {
      pendingCall.sendSubscriptions.dispose();
      return;
    }
    pendingCalls.remove(pendingCall.call.info().id(), pendingCall);
    pendingCall.listener.onWithdrawn();
    decideAndPerform(
        actions -> pool.removeQueued(pendingCall.call.info().id(), nowNanos(), actions));
  }

  private void decideAndPerform(Consumer<Consumer<PoolAction>> decision) {
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
      case PoolAction.RecordStateChange change -> emitStateChange(change);
    }
  }

  private void emitStateChange(PoolAction.RecordStateChange change) {
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
    PendingCall pendingCall = pendingCalls.remove(id);
    if (pendingCall != null) {
      pendingCall.sink.success(new CallResult.HandedBack(reason, Optional.of(view())));
    }
  }

  private void probe(Endpoint target) {
    RequestHead head = RequestHead.get(spec.service().probe().path());
    sender
        .send(target, head, CallBody.buffered(new byte[0]), PROBE_TIMEOUT)
        .flatMap(response -> response.body().doOnNext(ByteBuf::release).then(Mono.just(response)))
        .map(PoolRunner::loadReport)
        .onErrorReturn(Optional.empty())
        .subscribe(
            report ->
                decideAndPerform(
                    actions -> pool.probeCompleted(target, report, nowNanos(), actions)));
  }

  private void send(PoolAction.Send action) {
    CallId id = action.call().id();
    PendingCall pendingCall = pendingCalls.get(id);
    if (pendingCall == null || !pendingCall.sentOrWithdrawn.compareAndSet(false, true)) {
      reportOutcome(id, new TargetOutcome.Cancelled());
      return;
    }
    long remainingNanos = action.call().deadlineNanos() - nowNanos();
    if (remainingNanos <= 0) {
      pendingCalls.remove(id);
      reportOutcome(id, new TargetOutcome.Cancelled());
      pendingCall.sink.success(
          new CallResult.HandedBack(HandBackReason.TOO_LATE, Optional.of(view())));
      return;
    }
    pendingCall.target = Optional.of(action.target());
    pendingCall.listener.beforeSend();
    pendingCall.call.body().allowRemainder();
    RequestHead head = targetRequestHead(pendingCall.call, remainingNanos);
    long startNanos = nowNanos();
    Disposable subscription =
        sender
            .send(action.target(), head, pendingCall.call.body(), Duration.ofNanos(remainingNanos))
            .doOnCancel(() -> onCancelled(pendingCall))
            .flatMap(response -> bufferSmallBody(response, remainingNanos))
            .subscribe(
                received ->
                    onResponse(pendingCall, received, nowNanos() - startNanos, remainingNanos),
                error -> onError(pendingCall, error));
    pendingCall.sendSubscriptions.add(subscription);
  }

  private static RequestHead targetRequestHead(Call call, long remainingNanos) {
    return call.head()
        .withField(
            HeaderNames.DEADLINE_MILLIS,
            String.valueOf(Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos))))
        .withField(HeaderNames.DEPTH, String.valueOf(call.info().depth() + 1))
        .withField(
            HeaderNames.RETRIES_LEFT,
            String.valueOf(new RetryAllowance(call.retriesLeft()).forwarded().remaining()));
  }

  private Mono<ReceivedResponse> bufferSmallBody(Response response, long remainingNanos) {
    if (contentLength(response) > MAX_BUFFERED_BODY_BYTES) {
      return Mono.just(new ReceivedResponse(response, false));
    }
    return response
        .body()
        .collect(ByteArrayOutputStream::new, PoolRunner::appendPart)
        .timeout(Duration.ofNanos(remainingNanos), clock)
        .map(ByteArrayOutputStream::toByteArray)
        .map(
            bytes ->
                new ReceivedResponse(
                    response.withBody(Flux.just(Unpooled.wrappedBuffer(bytes))), true));
  }

  private static void appendPart(ByteArrayOutputStream buffer, ByteBuf part) {
    buffer.writeBytes(ByteBufUtil.getBytes(part));
    part.release();
  }

  private static Optional<LoadReport> loadReport(Response response) {
    return Optional.ofNullable(response.headers().get(LoadReportHeader.NAME))
        .flatMap(LoadReportHeader::parse);
  }

  private static long contentLength(Response response) {
    String length = response.headers().get("content-length");
    return length == null ? Long.MAX_VALUE : Long.parseLong(length);
  }

  private void onCancelled(PendingCall pendingCall) {
    if (pendingCalls.remove(pendingCall.call.info().id(), pendingCall)) {
      reportOutcome(pendingCall.call.info().id(), new TargetOutcome.Cancelled());
    }
  }

  private void onResponse(
      PendingCall pendingCall, ReceivedResponse received, long serviceNanos, long remainingNanos) {
    Response response = received.response();
    CallId id = pendingCall.call.info().id();
    if (!pendingCalls.remove(id, pendingCall)) {
      response.body().subscribe(ByteBuf::release);
      return;
    }
    Optional<LoadReport> report = loadReport(response);
    boolean shed =
        response.status() == 503
            && Verdict.NOT_RUN.wireName().equals(response.headers().get(HeaderNames.OUTCOME));
    if (shed) {
      response.body().subscribe(ByteBuf::release, error -> {});
      reportOutcome(id, new TargetOutcome.Shed(report));
      pendingCall.sink.success(
          new CallResult.HandedBack(HandBackReason.NO_TARGET, Optional.of(view())));
      return;
    }
    if (received.buffered()) {
      reportOutcome(id, new TargetOutcome.Responded(response.status(), report, serviceNanos));
      pendingCall.sink.success(new CallResult.Responded(response, Optional.of(view())));
      return;
    }
    AtomicBoolean ended = new AtomicBoolean();
    Flux<ByteBuf> body =
        response
            .body()
            .takeUntilOther(deadlineTimeout(remainingNanos - serviceNanos))
            .doFinally(
                signal -> {
                  if (ended.compareAndSet(false, true)) {
                    reportOutcome(id, outcomeOf(signal, response.status(), report, serviceNanos));
                  }
                });
    pendingCall.sink.success(
        new CallResult.Responded(response.withBody(body), Optional.of(view())));
  }

  private Mono<Void> deadlineTimeout(long remainingNanos) {
    return Mono.delay(Duration.ofNanos(Math.max(0, remainingNanos)), clock)
        .then(
            Mono.error(
                () ->
                    new ResponseTimeoutException(
                        "The response was not complete at the deadline: allow more time.")));
  }

  private static TargetOutcome outcomeOf(
      SignalType signal, int status, Optional<LoadReport> report, long serviceNanos) {
    return switch (signal) {
      case ON_COMPLETE -> new TargetOutcome.Responded(status, report, serviceNanos);
      case CANCEL -> new TargetOutcome.Cancelled();
      default -> new TargetOutcome.ConnectionLost(false);
    };
  }

  private void onError(PendingCall pendingCall, Throwable error) {
    CallId id = pendingCall.call.info().id();
    if (!pendingCalls.remove(id, pendingCall)) {
      return;
    }
    RadishpostException cause =
        error instanceof RadishpostException known
            ? known
            : new ConnectionLostException("The response was lost: check the target's log.", error);
    switch (cause) {
      case NotConnectedException notConnected -> {
        reportOutcome(id, new TargetOutcome.NotConnected());
        pendingCall.sink.success(
            new CallResult.HandedBack(HandBackReason.NO_TARGET, Optional.of(view())));
      }
      case ResponseTimeoutException timeout -> {
        reportOutcome(id, new TargetOutcome.TimedOut());
        pendingCall.sink.success(new CallResult.Lost(timeout, Optional.of(view())));
      }
      case RequestBodyException body -> {
        reportOutcome(id, new TargetOutcome.Cancelled());
        pendingCall.sink.success(new CallResult.Lost(body, Optional.of(view())));
      }
      default -> {
        reportOutcome(id, new TargetOutcome.ConnectionLost(isOnlyCallOnTarget(pendingCall)));
        pendingCall.sink.success(new CallResult.Lost(cause, Optional.of(view())));
      }
    }
  }

  private boolean isOnlyCallOnTarget(PendingCall pendingCall) {
    return pendingCalls.values().stream()
        .noneMatch(other -> pendingCall.target.equals(other.target));
  }

  private void reportOutcome(CallId id, TargetOutcome outcome) {
    decideAndPerform(actions -> pool.callEnded(id, outcome, nowNanos(), actions));
  }

  private long nowNanos() {
    return clock.now(TimeUnit.NANOSECONDS);
  }

  /**
   * A response whose body is either complete in memory or still to be received.
   *
   * @param response the response
   * @param buffered whether the whole body is in memory
   */
  private record ReceivedResponse(Response response, boolean buffered) {}

  /** A call that is queued or running on a target. */
  private static final class PendingCall {
    private final Call call;
    private final SendListener listener;
    private final MonoSink<CallResult> sink;
    private final AtomicBoolean sentOrWithdrawn = new AtomicBoolean();
    private volatile Optional<Endpoint> target = Optional.empty();
    private final Disposable.Composite sendSubscriptions = Disposables.composite();

    private PendingCall(Call call, SendListener listener, MonoSink<CallResult> sink) {
      this.call = call;
      this.listener = listener;
      this.sink = sink;
    }
  }
}
