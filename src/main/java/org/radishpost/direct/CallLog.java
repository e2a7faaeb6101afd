package org.radishpost.direct;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.http.Call;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TrackedTarget;

/**
 * Writes the lines about calls: all that were refused, sent again, failed or left, and a sample of
 * the others.
 *
 * <p>The volume is bounded: beyond {@value #LINES_PER_SECOND} lines a second the rest is counted
 * and the count is written. Confined to one thread.
 */
final class CallLog {
  static final int LINES_PER_SECOND = 40;
  private static final int SAMPLE_INTERVAL = 64;

  private final EventSink events;
  private final String requestIdField;
  private long second;
  private int lines;
  private long leftOut;
  private int answered;

  /**
   * Creates a log.
   *
   * @param events where events go
   * @param requestIdField the field that names a request
   */
  CallLog(EventSink events, String requestIdField) {
    this.events = events;
    this.requestIdField = requestIdField;
  }

  /** Writes a line about a call. */
  void write(EventCode code, Call call, String why, Optional<TrackedTarget> target, long nowNanos) {
    if (code == EventCode.CALL_ANSWERED && answered++ % SAMPLE_INTERVAL != 0) {
      return;
    }
    if (!mayWrite(nowNanos)) {
      leftOut++;
      return;
    }
    events.emit(
        code,
        EventField.of("request", call.head().headers().get(requestIdField, "none")),
        EventField.of("route", call.facts().route()),
        EventField.of("version", call.match().manifest().version()),
        EventField.of("why", why),
        EventField.of("target", target.map(t -> t.target().id().value()).orElse("none")),
        EventField.of(
            "load", target.flatMap(TrackedTarget::lastSample).map(CallLog::text).orElse("unknown")),
        EventField.of("loadAgeMs", target.map(t -> millis(t.sampleAgeNanos(nowNanos))).orElse(-1L)),
        EventField.of("leftMs", millis(call.facts().deadlineNanos() - nowNanos)));
  }

  private boolean mayWrite(long nowNanos) {
    long now = TimeUnit.NANOSECONDS.toSeconds(nowNanos);
    if (now != second) {
      second = now;
      lines = 0;
      if (leftOut > 0) {
        events.emit(EventCode.CALL_LINES_LEFT_OUT, EventField.of("lines", leftOut));
        leftOut = 0;
      }
    }
    return lines++ < LINES_PER_SECOND;
  }

  private static String text(LoadSample sample) {
    return sample.running()
        + "+"
        + sample.waiting()
        + "/"
        + sample.slots()
        + "@"
        + sample.pacePercent();
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
