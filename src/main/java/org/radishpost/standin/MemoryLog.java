package org.radishpost.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.radishpost.errors.AppendUnknownException;
import org.radishpost.errors.LogUnavailableException;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;
import org.radishpost.store.PlatformLog;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * The platform's log kept in memory, with faults that can be changed at any time.
 *
 * <p>Thread-safe. Time is the scheduler's: a virtual one makes the whole log virtual.
 */
public final class MemoryLog implements PlatformLog {
  private static final long MILLIS_A_SECOND = 1000;

  private final Scheduler clock;
  private final Map<String, Stream> streams = new HashMap<>();
  private Duration retention;
  private LogFaults faults = LogFaults.NONE;
  private long appends;
  private long appendBytes;
  private int appendsPerSecond;
  private long second;
  private int appendsThisSecond;

  /**
   * Creates an empty log.
   *
   * @param clock the clock, and where delayed answers come from
   * @param retention how long records are kept
   */
  public MemoryLog(Scheduler clock, Duration retention) {
    this.clock = clock;
    this.retention = retention;
  }

  /** Sets what is wrong from now on. */
  public synchronized void faults(LogFaults wrong) {
    faults = wrong;
  }

  /** Returns what is wrong now. */
  public synchronized LogFaults faults() {
    return faults;
  }

  /** Sets how long records are kept from now on. */
  public synchronized void retention(Duration kept) {
    retention = kept;
  }

  /** Returns how long records are kept. */
  public synchronized Duration retention() {
    return retention;
  }

  /** Sets how many appends of one second are taken; 0 for no bound. */
  public synchronized void appendsPerSecond(int most) {
    appendsPerSecond = most;
  }

  /** Returns the number of appends that took effect. */
  public synchronized long appends() {
    return appends;
  }

  /** Returns the bytes of all payloads whose appends took effect. */
  public synchronized long appendBytes() {
    return appendBytes;
  }

  @Override
  public Mono<LogRecord> append(String stream, byte[] payload) {
    return delayed(Mono.defer(() -> appendNow(stream, payload)));
  }

  @Override
  public Mono<LogPage> read(String stream, long fromOffset, int maxRecords, Duration wait) {
    return delayed(Mono.defer(() -> readNow(stream, fromOffset, maxRecords, wait)));
  }

  private <T> Mono<T> delayed(Mono<T> answer) {
    return Mono.defer(
        () -> {
          Duration delay = faults().delay();
          return delay.isZero() ? answer : Mono.delay(delay, clock).then(answer);
        });
  }

  private Mono<LogRecord> appendNow(String name, byte[] payload) {
    Sinks.One<Boolean> waiting;
    Mono<LogRecord> answer;
    synchronized (this) {
      if (faults.down()) {
        return Mono.error(unavailable());
      }
      if (!takeAppend()) {
        return Mono.error(busy());
      }
      if (faults.lostAppends() > 0) {
        faults = faults.withoutLostAppend();
        return Mono.error(unknown());
      }
      Stream stream = stream(name);
      waiting = stream.grown;
      answer = landed(stream.add(nowMillis(), payload));
    }
    waiting.tryEmitValue(true);
    return answer;
  }

  private boolean takeAppend() {
    long now = nowMillis() / MILLIS_A_SECOND;
    if (now != second) {
      second = now;
      appendsThisSecond = 0;
    }
    appendsThisSecond++;
    return appendsPerSecond == 0 || appendsThisSecond <= appendsPerSecond;
  }

  private Mono<LogRecord> landed(LogRecord landed) {
    appends++;
    appendBytes += landed.payload().length;
    if (faults.lostAppendAnswers() > 0) {
      faults = faults.withoutLostAnswer();
      return Mono.error(unknown());
    }
    return Mono.just(landed);
  }

  private synchronized Mono<LogPage> readNow(String name, long from, int max, Duration wait) {
    if (faults.down()) {
      return Mono.error(unavailable());
    }
    Stream stream = stream(name);
    stream.expire(nowMillis() - retention.toMillis());
    if (from < stream.nextOffset || wait.isZero()) {
      return Mono.just(stream.page(from, max, nowMillis()));
    }
    return stream
        .grown
        .asMono()
        .timeout(wait, Mono.empty(), clock)
        .then(Mono.defer(() -> readNow(name, from, max, Duration.ZERO)));
  }

  private Stream stream(String name) {
    return streams.computeIfAbsent(name, unused -> new Stream());
  }

  private long nowMillis() {
    return clock.now(TimeUnit.MILLISECONDS);
  }

  private static LogUnavailableException unavailable() {
    return new LogUnavailableException("The platform's log is down: try again later.");
  }

  private static LogUnavailableException busy() {
    return new LogUnavailableException(
        "The platform's log has taken all appends of this second: try again later.");
  }

  private static AppendUnknownException unknown() {
    return new AppendUnknownException(
        "The answer to the append was lost: read the stream to see whether the record landed.");
  }

  private static final class Stream {
    private final List<LogRecord> records = new ArrayList<>();
    private long nextOffset = 1;
    private long lastMillis;
    private long horizonMillis;
    private Sinks.One<Boolean> grown = Sinks.one();

    private LogRecord add(long nowMillis, byte[] payload) {
      lastMillis = Math.max(lastMillis, nowMillis);
      LogRecord landed = new LogRecord(nextOffset++, lastMillis, payload.clone());
      records.add(landed);
      grown = Sinks.one();
      return landed;
    }

    private void expire(long horizon) {
      int gone = 0;
      while (gone < records.size() && records.get(gone).timeMillis() < horizon) {
        horizonMillis = records.get(gone).timeMillis();
        gone++;
      }
      records.subList(0, gone).clear();
    }

    private LogPage page(long from, int max, long nowMillis) {
      long earliest = records.isEmpty() ? nextOffset : records.getFirst().offset();
      int first = (int) Math.max(0, from - earliest);
      int last = (int) Math.min(records.size(), (long) first + max);
      List<LogRecord> found = first < last ? records.subList(first, last) : List.of();
      return new LogPage(found, earliest, nextOffset, nowMillis, horizonMillis);
    }
  }
}
