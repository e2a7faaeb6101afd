package org.radishpost.bench;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;
import org.radishpost.store.PlatformLog;
import org.radishpost.store.http.LogJson;
import reactor.core.publisher.Mono;

/** Counts the reads of a log and the sizes of the returned pages as JSON. Thread-safe. */
final class CountingLog implements PlatformLog {
  private final PlatformLog delegate;
  private final LogJson json = new LogJson();
  private final AtomicLong readCount = new AtomicLong();
  private final AtomicLong readBytes = new AtomicLong();

  CountingLog(PlatformLog delegate) {
    this.delegate = delegate;
  }

  long readCount() {
    return readCount.get();
  }

  long readBytes() {
    return readBytes.get();
  }

  void reset() {
    readCount.set(0);
    readBytes.set(0);
  }

  @Override
  public Mono<LogRecord> append(String stream, byte[] payload) {
    return delegate.append(stream, payload);
  }

  @Override
  public Mono<LogPage> read(String stream, long fromOffset, int maxRecords, Duration wait) {
    return delegate.read(stream, fromOffset, maxRecords, wait).doOnNext(this::count);
  }

  private void count(LogPage page) {
    readCount.incrementAndGet();
    readBytes.addAndGet(json.encodePage(page).length);
  }
}
