package org.radishpost.node;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;

/**
 * Emits an event with the calls and probes of each interval, and with the longest delay of a timer,
 * which shows whether this VM has enough processor time.
 *
 * <p>Emits nothing for an interval without calls. Confined to one thread.
 */
final class LoadSummary {
  private static final int TICKS_PER_SUMMARY = 20;

  private final NodeMetrics metrics;
  private final EventSink events;
  private final long tickNanos;
  private long lastTickNanos;
  private int ticks;
  private long maxDelayNanos;
  private long calls;
  private long notRun;
  private long sends;
  private long probes;

  /**
   * Creates a summary that has seen no tick.
   *
   * @param metrics counts the calls and probes
   * @param events receives the event
   * @param tickInterval the planned time between two calls of {@link #tick}
   */
  LoadSummary(NodeMetrics metrics, EventSink events, Duration tickInterval) {
    this.metrics = metrics;
    this.events = events;
    this.tickNanos = tickInterval.toNanos();
  }

  /** Records a tick; each {@value #TICKS_PER_SUMMARY}th one ends an interval. */
  void tick(long nowNanos) {
    if (lastTickNanos != 0) {
      maxDelayNanos = Math.max(maxDelayNanos, nowNanos - lastTickNanos - tickNanos);
    }
    lastTickNanos = nowNanos;
    ticks++;
    if (ticks == TICKS_PER_SUMMARY) {
      endInterval();
    }
  }

  private void endInterval() {
    long newCalls = metrics.callCount() - calls;
    if (newCalls > 0) {
      events.emit(
          EventCode.LOAD_SUMMARY,
          EventField.of("calls", newCalls),
          EventField.of("notRun", metrics.notRunCount() - notRun),
          EventField.of("sends", metrics.targetCallCount() - sends),
          EventField.of("probes", metrics.targetProbeCount() - probes),
          EventField.of("maxDelayMs", TimeUnit.NANOSECONDS.toMillis(maxDelayNanos)));
    }
    calls = metrics.callCount();
    notRun = metrics.notRunCount();
    sends = metrics.targetCallCount();
    probes = metrics.targetProbeCount();
    maxDelayNanos = 0;
    ticks = 0;
  }
}
