package org.radishpost.bench;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;
import org.radishpost.store.PlatformLog;
import org.radishpost.store.http.LogJson;
import reactor.core.publisher.Mono;

/** Counts the reads of a log and the bytes of their bodies; thread-safe. */
final class CountingLog implements PlatformLog {
  private final PlatformLog log;
  private final LogJson json = new LogJson();
  private final AtomicLong reads = new AtomicLong();
  private final AtomicLong readBytes = new AtomicLong();

  CountingLog(PlatformLog log) {
    this.log = log;
  }

  long reads() {
    return reads.get();
  }

  long readBytes() {
    return readBytes.get();
  }

  void reset() {
    reads.set(0);
    readBytes.set(0);
  }

  @Override
  public Mono<LogRecord> append(String stream, byte[] payload) {
    return log.append(stream, payload);
  }

  @Override
  public Mono<LogPage> read(String stream, long fromOffset, int maxRecords, Duration wait) {
    return log.read(stream, fromOffset, maxRecords, wait).doOnNext(this::count);
  }

  private void count(LogPage page) {
    reads.incrementAndGet();
    readBytes.addAndGet(json.encodePage(page).length);
  }
}
