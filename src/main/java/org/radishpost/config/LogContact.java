package org.radishpost.config;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.radishpost.store.LogPage;

/** Tracks the last successful read of the log and the clock of the log; not thread-safe. */
final class LogContact {
  private boolean everContacted;
  private long lastContactNanos;
  private long lastLogMillis;
  private long newestVersion;

  LogContact(long startNanos) {
    lastContactNanos = startNanos;
  }

  void pageReceived(LogPage page, long nowNanos) {
    everContacted = true;
    lastContactNanos = nowNanos;
    lastLogMillis = page.timeMillis();
    newestVersion = Math.max(newestVersion, page.nextOffset() - 1);
  }

  /** Returns whether the log was read successfully since the start. */
  boolean everContacted() {
    return everContacted;
  }

  /** Returns the newest version reported by the log. */
  long newestVersion() {
    return newestVersion;
  }

  Duration timeSinceContact(long nowNanos) {
    return Duration.ofNanos(nowNanos - lastContactNanos);
  }

  /** Returns an estimate of the current log time. */
  long estimatedLogMillis(long nowNanos) {
    return lastLogMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - lastContactNanos);
  }
}
