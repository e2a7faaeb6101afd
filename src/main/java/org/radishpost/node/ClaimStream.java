package org.radishpost.node;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.radishpost.claims.ClaimAction;
import org.radishpost.claims.ClaimOutcome;
import org.radishpost.claims.ClaimRequest;
import org.radishpost.claims.ClaimResult;
import org.radishpost.claims.ClaimShard;
import org.radishpost.errors.LogUnavailableException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.store.PlatformLog;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.scheduler.Scheduler;

/** Runs one {@link ClaimShard} on its stream of the log; thread-safe. */
final class ClaimStream {
  private static final Duration LOG_TIMEOUT = Duration.ofSeconds(5);

  private final String name;
  private final PlatformLog log;
  private final Scheduler scheduler;
  private final EventSink events;
  private final ClaimShard shard;
  private final AtomicLong lastRequestId = new AtomicLong();
  private final Map<Long, MonoSink<ClaimResult>> pendingClaims = new ConcurrentHashMap<>();
  private final Map<Long, MonoSink<Boolean>> pendingEnds = new ConcurrentHashMap<>();
  private final Disposable.Swap wakeTask = Disposables.swap();
  private final Disposable.Composite tasks = Disposables.composite();
  private long scheduledWakeNanos = Long.MAX_VALUE;
  private long lastUsedNanos;
  private boolean readyReported;
  private boolean logFailing;

  ClaimStream(String name, PlatformLog log, Scheduler scheduler, EventSink events) {
    this.name = name;
    this.log = log;
    this.scheduler = scheduler;
    this.events = events;
    lastUsedNanos = nowNanos();
    shard = new ClaimShard(lastUsedNanos);
  }

  /** Starts reading the retained stream, unless reading has started. */
  void open() {
    handle(unused -> lastUsedNanos = nowNanos());
  }

  /** Claims a key for a requester on this or another VM. */
  Mono<ClaimResult> claim(ClaimRequest request, Duration timeout) {
    return Mono.create(
        sink -> {
          long requestId = lastRequestId.incrementAndGet();
          pendingClaims.put(requestId, sink);
          handle(shard -> shard.claim(requestId, request, markUsed(timeout)));
        });
  }

  /** Records how an attempt ended; emits whether the record is in the log. */
  Mono<Boolean> end(ClaimRequest request, Optional<ClaimOutcome> outcome, Duration timeout) {
    return Mono.create(
        sink -> {
          long requestId = lastRequestId.incrementAndGet();
          pendingEnds.put(requestId, sink);
          handle(shard -> shard.end(requestId, request, outcome, markUsed(timeout)));
        });
  }

  /** Returns whether no request was made for the given duration and none is pending. */
  synchronized boolean isIdleFor(Duration duration) {
    return !shard.hasPendingWork() && nowNanos() - lastUsedNanos >= duration.toNanos();
  }

  /** Returns the number of keys in memory. */
  synchronized int keyCount() {
    return shard.keyCount();
  }

  /** Returns the estimated memory of the index, in bytes. */
  synchronized long indexBytes() {
    return shard.indexBytes();
  }

  /** Stops all work; pending requests get no result. */
  void close() {
    wakeTask.dispose();
    tasks.dispose();
  }

  private long markUsed(Duration timeout) {
    lastUsedNanos = nowNanos();
    return lastUsedNanos + timeout.toNanos();
  }

  private void handle(Consumer<ClaimShard> event) {
    List<ClaimAction> actions;
    synchronized (this) {
      event.accept(shard);
      actions = shard.advance(nowNanos());
      scheduleWake();
    }
    actions.forEach(this::perform);
  }

  private void scheduleWake() {
    long nextWakeNanos = shard.nextWakeNanos();
    if (nextWakeNanos == scheduledWakeNanos || nextWakeNanos == Long.MAX_VALUE) {
      return;
    }
    scheduledWakeNanos = nextWakeNanos;
    long delay = Math.max(0, nextWakeNanos - nowNanos());
    wakeTask.update(scheduler.schedule(() -> wakeUp(nextWakeNanos), delay, TimeUnit.NANOSECONDS));
  }

  private void wakeUp(long plannedNanos) {
    handle(
        unused -> {
          if (scheduledWakeNanos == plannedNanos) {
            scheduledWakeNanos = Long.MAX_VALUE;
          }
        });
  }

  private void perform(ClaimAction action) {
    switch (action) {
      case ClaimAction.Append append -> append(append.payload());
      case ClaimAction.Read read -> read(read);
      case ClaimAction.ReportResult report ->
          pendingClaims.remove(report.requestId()).success(report.result());
      case ClaimAction.ReportEndRecorded report ->
          pendingEnds.remove(report.requestId()).success(report.recorded());
      case ClaimAction.ReportUnreadableRecord report ->
          emit(EventCode.CLAIM_RECORD_UNREADABLE, EventField.of("offset", report.offset()));
      case ClaimAction.ReportRecordsLost report ->
          emit(EventCode.CLAIM_STREAM_CUT, EventField.of("offset", report.nextOffset()));
    }
  }

  private void append(byte[] payload) {
    subscribe(
        log.append(name, payload),
        record -> {
          onLogSuccess();
          handle(shard -> shard.appended(record));
        },
        error -> {
          onLogFailure(error);
          handle(shard -> reportAppendFailure(shard, error));
        });
  }

  private void reportAppendFailure(ClaimShard shard, Throwable error) {
    if (error instanceof LogUnavailableException) {
      shard.appendFailed(nowNanos());
    } else {
      shard.appendResultUnknown(nowNanos());
    }
  }

  private void read(ClaimAction.Read read) {
    subscribe(
        log.read(name, read.fromOffset(), read.maxRecords(), Duration.ZERO),
        page -> {
          onLogSuccess();
          handle(shard -> shard.readCompleted(page, nowNanos()));
          reportReady();
        },
        error -> {
          onLogFailure(error);
          handle(shard -> shard.readFailed(nowNanos()));
        });
  }

  private <T> void subscribe(Mono<T> request, Consumer<T> success, Consumer<Throwable> failure) {
    Disposable.Swap subscription = Disposables.swap();
    tasks.add(subscription);
    subscription.update(
        request
            .single()
            .timeout(LOG_TIMEOUT, scheduler)
            .publishOn(scheduler)
            .doFinally(unused -> tasks.remove(subscription))
            .subscribe(success, failure));
  }

  private void reportReady() {
    synchronized (this) {
      if (readyReported || !shard.isReady()) {
        return;
      }
      readyReported = true;
    }
    emit(EventCode.CLAIM_STREAM_READY, EventField.of("keys", keyCount()));
  }

  private void onLogSuccess() {
    synchronized (this) {
      if (!logFailing) {
        return;
      }
      logFailing = false;
    }
    emit(EventCode.CLAIM_LOG_BACK);
  }

  private void onLogFailure(Throwable error) {
    synchronized (this) {
      if (logFailing) {
        return;
      }
      logFailing = true;
    }
    emit(EventCode.CLAIM_LOG_FAILING, EventField.of("reason", error.getClass().getSimpleName()));
  }

  private void emit(EventCode code, EventField... fields) {
    EventField[] allFields = new EventField[fields.length + 1];
    allFields[0] = EventField.of("stream", name);
    System.arraycopy(fields, 0, allFields, 1, fields.length);
    events.emit(code, allFields);
  }

  private long nowNanos() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }
}
