package org.radishpost.direct;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.http.Call;
import org.radishpost.http.Exchange;
import org.radishpost.http.ResponseEnd;
import org.radishpost.http.ResponseFraming;
import org.radishpost.placement.LoadSample;
import org.radishpost.placement.TrackedTarget;

/**
 * Logs all calls that are refused, retried, hedged, failed or abandoned, and a sample of the
 * successful ones.
 *
 * <p>Writes at most {@value #MAX_LINES_PER_SECOND} lines per second; further lines are suppressed
 * and their number is logged afterwards. Confined to one thread.
 */
final class CallLog {
  static final int MAX_LINES_PER_SECOND = 40;
  private static final int ANSWERED_SAMPLE_INTERVAL = 64;

  private final EventSink events;
  private final String requestIdField;
  private long currentSecond;
  private int linesThisSecond;
  private long suppressedLines;
  private int answeredCalls;

  /**
   * Creates a log that emits its lines as events.
   *
   * @param events receives the events
   * @param requestIdField the name of the header field with the request ID
   */
  CallLog(EventSink events, String requestIdField) {
    this.events = events;
    this.requestIdField = requestIdField;
  }

  /** Writes a line about a call, unless it is sampled out or the rate limit is exceeded. */
  void write(
      EventCode code,
      CallAttempts attempts,
      String reason,
      Optional<TrackedTarget> target,
      long nowNanos) {
    Call call = attempts.call();
    if (code == EventCode.CALL_ANSWERED && !isNotable(attempts) && isSampledOut()) {
      return;
    }
    if (!tryCountLine(nowNanos)) {
      suppressedLines++;
      return;
    }
    events.emit(
        code,
        EventField.of("request", call.head().headers().get(requestIdField, "none")),
        EventField.of("route", call.info().route()),
        EventField.of("version", call.match().manifest().version()),
        EventField.of("why", reason),
        EventField.of("target", target.map(t -> t.target().id().value()).orElse("none")),
        EventField.of(
            "load",
            target.flatMap(TrackedTarget::lastSample).map(CallLog::loadText).orElse("unknown")),
        EventField.of("loadAgeMs", target.map(t -> millis(t.sampleAgeNanos(nowNanos))).orElse(-1L)),
        EventField.of("waitedMs", millis(attempts.waitedNanos(nowNanos))),
        EventField.of("leftMs", millis(call.info().deadlineNanos() - nowNanos)),
        EventField.of(
            "connection", attempts.lastExchange().map(Exchange::connection).orElse("none")),
        EventField.of(
            "framing", attempts.lastExchange().map(Exchange::framing).orElse(ResponseFraming.NONE)),
        EventField.of("end", attempts.lastExchange().map(Exchange::end).orElse(ResponseEnd.NONE)),
        EventField.of(
            "skipped", attempts.lastExchange().map(Exchange::skippedIds).orElse(List.of())));
  }

  private boolean isSampledOut() {
    return answeredCalls++ % ANSWERED_SAMPLE_INTERVAL != 0;
  }

  /** Returns whether the connection of a call carried anything else than its response. */
  private static boolean isNotable(CallAttempts attempts) {
    return attempts.lastExchange().filter(Exchange::isNotable).isPresent();
  }

  private boolean tryCountLine(long nowNanos) {
    long now = TimeUnit.NANOSECONDS.toSeconds(nowNanos);
    if (now != currentSecond) {
      currentSecond = now;
      linesThisSecond = 0;
      if (suppressedLines > 0) {
        events.emit(EventCode.CALL_LINES_LEFT_OUT, EventField.of("lines", suppressedLines));
        suppressedLines = 0;
      }
    }
    return linesThisSecond++ < MAX_LINES_PER_SECOND;
  }

  private static String loadText(LoadSample sample) {
    return sample.running()
        + "+"
        + sample.waiting()
        + "/"
        + sample.slots()
        + "@"
        + sample.slowdownPercent();
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
