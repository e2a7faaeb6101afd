package org.radishpost.node;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.radishpost.events.EventField;
import org.radishpost.http.Response;
import org.radishpost.http.Responses;
import org.testng.annotations.Test;

/** Tests what the summary of an interval contains. */
public class LoadSummaryTest {
  private static final Duration TICK = Duration.ofMillis(250);
  private static final int TICKS = 20;

  private final NodeMetrics metrics = new NodeMetrics(new MetricRegistry());
  private int intervals;
  private final List<List<EventField>> summaries = new ArrayList<>();
  private final LoadSummary summary =
      new LoadSummary(metrics, (code, fields) -> summaries.add(Arrays.asList(fields)), TICK);

  private void runInterval(Duration delayOfLastTick) {
    long startNanos = ++intervals * Duration.ofMinutes(1).toNanos();
    for (int i = 1; i < TICKS; i++) {
      summary.tick(startNanos + i * TICK.toNanos());
    }
    summary.tick(startNanos + TICKS * TICK.toNanos() + delayOfLastTick.toNanos());
  }

  @Test
  public void summaryCountsOnlyItsInterval() {
    Response response = Responses.text(200, "ok");
    metrics.recordCall(response, 1);
    metrics.countSend(true);
    metrics.countSend(true);
    metrics.countSend(false);
    runInterval(Duration.ofMillis(70));
    runInterval(Duration.ZERO);
    assertEquals(
        summaries,
        List.of(
            List.of(
                EventField.of("calls", 1),
                EventField.of("notRun", 0),
                EventField.of("sends", 1),
                EventField.of("probes", 2),
                EventField.of("maxDelayMs", 70))));
  }
}
