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

/** Drives one {@link ClaimShard} over its stream on the log; thread-safe. */
final class ClaimStream {
  private static final Duration LOG_LIMIT = Duration.ofSeconds(5);

  private final String name;
  private final PlatformLog log;
  private final Scheduler scheduler;
  private final EventSink events;
  private final ClaimShard shard;
  private final AtomicLong lastAsk = new AtomicLong();
  private final Map<Long, MonoSink<ClaimResult>> claims = new ConcurrentHashMap<>();
  private final Map<Long, MonoSink<Boolean>> endings = new ConcurrentHashMap<>();
  private final Disposable.Swap wake = Disposables.swap();
  private final Disposable.Composite running = Disposables.composite();
  private long wakeNanos = Long.MAX_VALUE;
  private long usedNanos;
  private boolean ready;
  private boolean failing;

  ClaimStream(String name, PlatformLog log, Scheduler scheduler, EventSink events) {
    this.name = name;
    this.log = log;
    this.scheduler = scheduler;
    this.events = events;
    usedNanos = nowNanos();
    shard = new ClaimShard(usedNanos);
  }

  /** Starts to read the retained stream, if that has not begun. */
  void open() {
    on(unused -> usedNanos = nowNanos());
  }

  /** Claims for an asker, here or on another VM. */
  Mono<ClaimResult> claim(ClaimRequest request, Duration limit) {
    return Mono.create(
        sink -> {
          long ask = lastAsk.incrementAndGet();
          claims.put(ask, sink);
          on(shard -> shard.claim(ask, request, use(limit)));
        });
  }

  /** Records how an attempt ended; emits whether that is on the log. */
  Mono<Boolean> end(ClaimRequest request, Optional<ClaimOutcome> outcome, Duration limit) {
    return Mono.create(
        sink -> {
          long ask = lastAsk.incrementAndGet();
          endings.put(ask, sink);
          on(shard -> shard.end(ask, request, outcome, use(limit)));
        });
  }

  /** Tells whether nothing has been asked for the given time and nothing waits. */
  synchronized boolean idleFor(Duration time) {
    return !shard.hasPendingWork() && nowNanos() - usedNanos >= time.toNanos();
  }

  /** Returns the number of keys in memory. */
  synchronized int keys() {
    return shard.keyCount();
  }

  /** Returns the memory that the index takes, by estimate. */
  synchronized long indexBytes() {
    return shard.indexBytes();
  }

  /** Stops all work; what waits gets no answer. */
  void close() {
    wake.dispose();
    running.dispose();
  }

  private long use(Duration limit) {
    usedNanos = nowNanos();
    return usedNanos + limit.toNanos();
  }

  private void on(Consumer<ClaimShard> event) {
    List<ClaimAction> actions;
    synchronized (this) {
      event.accept(shard);
      actions = shard.advance(nowNanos());
      scheduleWake();
    }
    actions.forEach(this::perform);
  }

  private void scheduleWake() {
    long wanted = shard.nextWakeNanos();
    if (wanted == wakeNanos || wanted == Long.MAX_VALUE) {
      return;
    }
    wakeNanos = wanted;
    long delay = Math.max(0, wanted - nowNanos());
    wake.update(scheduler.schedule(() -> wakeUp(wanted), delay, TimeUnit.NANOSECONDS));
  }

  private void wakeUp(long planned) {
    on(
        unused -> {
          if (wakeNanos == planned) {
            wakeNanos = Long.MAX_VALUE;
          }
        });
  }

  private void perform(ClaimAction action) {
    switch (action) {
      case ClaimAction.Append append -> append(append.payload());
      case ClaimAction.Read read -> read(read);
      case ClaimAction.ReportResult answer ->
          claims.remove(answer.requestId()).success(answer.result());
      case ClaimAction.ReportEndRecorded end ->
          endings.remove(end.requestId()).success(end.recorded());
      case ClaimAction.ReportUnreadableRecord report ->
          emit(EventCode.CLAIM_RECORD_UNREADABLE, EventField.of("offset", report.offset()));
      case ClaimAction.ReportRecordsLost report ->
          emit(EventCode.CLAIM_STREAM_CUT, EventField.of("offset", report.nextOffset()));
    }
  }

  private void append(byte[] payload) {
    run(
        log.append(name, payload),
        record -> {
          answered();
          on(shard -> shard.appended(record));
        },
        error -> {
          failed(error);
          on(shard -> appendFailed(shard, error));
        });
  }

  private void appendFailed(ClaimShard shard, Throwable error) {
    if (error instanceof LogUnavailableException) {
      shard.appendFailed(nowNanos());
    } else {
      shard.appendResultUnknown(nowNanos());
    }
  }

  private void read(ClaimAction.Read read) {
    run(
        log.read(name, read.fromOffset(), read.maxRecords(), Duration.ZERO),
        page -> {
          answered();
          on(shard -> shard.readCompleted(page, nowNanos()));
          reportReady();
        },
        error -> {
          failed(error);
          on(shard -> shard.readFailed(nowNanos()));
        });
  }

  private <T> void run(Mono<T> request, Consumer<T> success, Consumer<Throwable> failure) {
    Disposable.Swap self = Disposables.swap();
    running.add(self);
    self.update(
        request
            .single()
            .timeout(LOG_LIMIT, scheduler)
            .publishOn(scheduler)
            .doFinally(unused -> running.remove(self))
            .subscribe(success, failure));
  }

  private void reportReady() {
    synchronized (this) {
      if (ready || !shard.isReady()) {
        return;
      }
      ready = true;
    }
    emit(EventCode.CLAIM_STREAM_READY, EventField.of("keys", keys()));
  }

  private void answered() {
    synchronized (this) {
      if (!failing) {
        return;
      }
      failing = false;
    }
    emit(EventCode.CLAIM_LOG_BACK);
  }

  private void failed(Throwable error) {
    synchronized (this) {
      if (failing) {
        return;
      }
      failing = true;
    }
    emit(EventCode.CLAIM_LOG_FAILING, EventField.of("reason", error.getClass().getSimpleName()));
  }

  private void emit(EventCode code, EventField... fields) {
    EventField[] all = new EventField[fields.length + 1];
    all[0] = EventField.of("stream", name);
    System.arraycopy(fields, 0, all, 1, fields.length);
    events.emit(code, all);
  }

  private long nowNanos() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }
}
