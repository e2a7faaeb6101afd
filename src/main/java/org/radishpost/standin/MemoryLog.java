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
 * An in-memory implementation of the platform's log, with faults that can be changed at any time.
 *
 * <p>Thread-safe. All times come from the scheduler, so a virtual-time scheduler makes the log run
 * in virtual time.
 */
public final class MemoryLog implements PlatformLog {
  private static final long MILLIS_PER_SECOND = 1000;

  private final Scheduler clock;
  private final Map<String, Stream> streams = new HashMap<>();
  private Duration retention;
  private LogFaults faults = LogFaults.NONE;
  private long appendCount;
  private long appendedBytes;
  private int maxAppendsPerSecond;
  private long currentSecond;
  private int appendsThisSecond;

  /**
   * Creates an empty log.
   *
   * @param clock the clock, which also schedules delayed responses
   * @param retention the retention time of records
   */
  public MemoryLog(Scheduler clock, Duration retention) {
    this.clock = clock;
    this.retention = retention;
  }

  /** Sets the faults that apply to all following requests. */
  public synchronized void setFaults(LogFaults newFaults) {
    faults = newFaults;
  }

  /** Returns the current faults. */
  public synchronized LogFaults faults() {
    return faults;
  }

  /** Sets the retention time of records. */
  public synchronized void setRetention(Duration newRetention) {
    retention = newRetention;
  }

  /** Returns the retention time of records. */
  public synchronized Duration retention() {
    return retention;
  }

  /** Sets the maximum number of appends per second; 0 for no limit. */
  public synchronized void setMaxAppendsPerSecond(int limit) {
    maxAppendsPerSecond = limit;
  }

  /** Returns the number of appends that took effect. */
  public synchronized long appendCount() {
    return appendCount;
  }

  /** Returns the total payload size, in bytes, of the appends that took effect. */
  public synchronized long appendedBytes() {
    return appendedBytes;
  }

  @Override
  public Mono<LogRecord> append(String stream, byte[] payload) {
    return withDelay(Mono.defer(() -> appendNow(stream, payload)));
  }

  @Override
  public Mono<LogPage> read(String stream, long fromOffset, int maxRecords, Duration wait) {
    return withDelay(Mono.defer(() -> readNow(stream, fromOffset, maxRecords, wait)));
  }

  private <T> Mono<T> withDelay(Mono<T> result) {
    return Mono.defer(
        () -> {
          Duration delay = faults().delay();
          return delay.isZero() ? result : Mono.delay(delay, clock).then(result);
        });
  }

  private Mono<LogRecord> appendNow(String streamName, byte[] payload) {
    Sinks.One<Boolean> waitingReads;
    Mono<LogRecord> result;
    synchronized (this) {
      if (faults.down()) {
        return Mono.error(unavailable());
      }
      if (!acquireAppendPermit()) {
        return Mono.error(rateExceeded());
      }
      if (faults.lostAppends() > 0) {
        faults = faults.withOneLostAppendFewer();
        return Mono.error(appendUnknown());
      }
      Stream stream = stream(streamName);
      waitingReads = stream.nextAppend;
      result = completeAppend(stream.add(nowMillis(), payload));
    }
    waitingReads.tryEmitValue(true);
    return result;
  }

  private boolean acquireAppendPermit() {
    long nowSecond = nowMillis() / MILLIS_PER_SECOND;
    if (nowSecond != currentSecond) {
      currentSecond = nowSecond;
      appendsThisSecond = 0;
    }
    appendsThisSecond++;
    return maxAppendsPerSecond == 0 || appendsThisSecond <= maxAppendsPerSecond;
  }

  private Mono<LogRecord> completeAppend(LogRecord appended) {
    appendCount++;
    appendedBytes += appended.payload().length;
    if (faults.lostAppendResponses() > 0) {
      faults = faults.withOneLostResponseFewer();
      return Mono.error(appendUnknown());
    }
    return Mono.just(appended);
  }

  private synchronized Mono<LogPage> readNow(
      String streamName, long fromOffset, int maxRecords, Duration wait) {
    if (faults.down()) {
      return Mono.error(unavailable());
    }
    Stream stream = stream(streamName);
    stream.expire(nowMillis() - retention.toMillis());
    if (fromOffset < stream.nextOffset || wait.isZero()) {
      return Mono.just(stream.page(fromOffset, maxRecords, nowMillis()));
    }
    return stream
        .nextAppend
        .asMono()
        .timeout(wait, Mono.empty(), clock)
        .then(Mono.defer(() -> readNow(streamName, fromOffset, maxRecords, Duration.ZERO)));
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

  private static LogUnavailableException rateExceeded() {
    return new LogUnavailableException(
        "The platform's log has reached its append limit for this second: try again later.");
  }

  private static AppendUnknownException appendUnknown() {
    return new AppendUnknownException(
        "The response to the append was lost: read the stream to check whether it took effect.");
  }

  private static final class Stream {
    private final List<LogRecord> records = new ArrayList<>();
    private long nextOffset = 1;
    private long lastMillis;
    private long horizonMillis;
    private Sinks.One<Boolean> nextAppend = Sinks.one();

    private LogRecord add(long nowMillis, byte[] payload) {
      lastMillis = Math.max(lastMillis, nowMillis);
      LogRecord added = new LogRecord(nextOffset++, lastMillis, payload.clone());
      records.add(added);
      nextAppend = Sinks.one();
      return added;
    }

    private void expire(long oldestKeptMillis) {
      int expiredCount = 0;
      while (expiredCount < records.size()
          && records.get(expiredCount).timeMillis() < oldestKeptMillis) {
        horizonMillis = records.get(expiredCount).timeMillis();
        expiredCount++;
      }
      records.subList(0, expiredCount).clear();
    }

    private LogPage page(long fromOffset, int maxRecords, long nowMillis) {
      long earliest = records.isEmpty() ? nextOffset : records.getFirst().offset();
      int fromIndex = (int) Math.max(0, fromOffset - earliest);
      int toIndex = (int) Math.min(records.size(), (long) fromIndex + maxRecords);
      List<LogRecord> page = fromIndex < toIndex ? records.subList(fromIndex, toIndex) : List.of();
      return new LogPage(page, earliest, nextOffset, nowMillis, horizonMillis);
    }
  }
}
