package org.radishpost.node;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.http.Readiness;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;

/** Tells when this VM turns ready or unready, and why; used by one timer. */
final class ReadinessWatch {
  private static final Duration INTERVAL = Duration.ofMillis(50);
  private static final String NOT_TOLD = "?";

  private final Readiness readiness;
  private final EventSink events;
  private final Scheduler clock;
  private String told = NOT_TOLD;

  ReadinessWatch(Readiness readiness, EventSink events, Scheduler clock) {
    this.readiness = readiness;
    this.events = events;
    this.clock = clock;
  }

  /** Begins to watch until the result is disposed of. */
  Disposable start() {
    return clock.schedulePeriodically(this::look, 0, INTERVAL.toNanos(), TimeUnit.NANOSECONDS);
  }

  private synchronized void look() {
    String why = readiness.notReadyReason();
    if (why.equals(told)) {
      return;
    }
    told = why;
    if (why.isEmpty()) {
      events.emit(EventCode.READY);
    } else {
      events.emit(EventCode.NOT_READY, EventField.of("why", why));
    }
  }
}
