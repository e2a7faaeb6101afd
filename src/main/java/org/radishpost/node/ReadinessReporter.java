package org.radishpost.node;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.http.Readiness;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/**
 * Emits an event when this VM becomes ready, becomes not ready or is not ready for a new reason.
 */
final class ReadinessReporter {
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);
  private static final String NOTHING_REPORTED = "?";

  private final Readiness readiness;
  private final EventSink events;
  private final Scheduler clock;
  private String lastReported = NOTHING_REPORTED;

  ReadinessReporter(Readiness readiness, EventSink events, Scheduler clock) {
    this.readiness = readiness;
    this.events = events;
    this.clock = clock;
  }

  /** Starts checking the readiness periodically, until the returned handle is disposed. */
  Disposable start() {
    return clock.schedulePeriodically(
        this::check, 0, CHECK_INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
  }

  private synchronized void check() {
    String reason = readiness.notReadyReason();
    if (reason.equals(lastReported)) {
      return;
    }
    lastReported = reason;
    if (reason.isEmpty()) {
      events.emit(EventCode.READY);
    } else {
      events.emit(EventCode.NOT_READY, EventField.of("why", reason));
    }
  }
}
