package org.radishpost.config;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.radishpost.store.LogPage;

/** When the log was last heard, and what its clock shows; not thread-safe. */
final class LogContact {
  private boolean heard;
  private long heardNanos;
  private long logMillis;
  private long toldVersion;

  LogContact(long startNanos) {
    heardNanos = startNanos;
  }

  void heard(LogPage page, long nowNanos) {
    heard = true;
    heardNanos = nowNanos;
    logMillis = page.timeMillis();
    toldVersion = Math.max(toldVersion, page.nextOffset() - 1);
  }

  /** Tells whether the log was heard since the start. */
  boolean heardOnce() {
    return heard;
  }

  /** Returns the newest version that the log told of. */
  long toldVersion() {
    return toldVersion;
  }

  Duration silence(long nowNanos) {
    return Duration.ofNanos(nowNanos - heardNanos);
  }

  /** Returns about what the log's clock shows now. */
  long logMillis(long nowNanos) {
    return logMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - heardNanos);
  }
}
