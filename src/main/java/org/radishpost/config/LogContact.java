package org.radishpost.config;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.radishpost.store.LogPage;

/** When the log was last heard, and what its clock shows; not thread-safe. */
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

  /** Tells whether the log was heard since the start. */
  boolean everContacted() {
    return everContacted;
  }

  /** Returns the newest version that the log told of. */
  long newestVersion() {
    return newestVersion;
  }

  Duration timeSinceContact(long nowNanos) {
    return Duration.ofNanos(nowNanos - lastContactNanos);
  }

  /** Returns about what the log's clock shows now. */
  long estimatedLogMillis(long nowNanos) {
    return lastLogMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - lastContactNanos);
  }
}
