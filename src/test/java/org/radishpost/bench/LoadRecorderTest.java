package org.radishpost.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.radishpost.errors.SettingsException;
import org.radishpost.lib.Endpoint;
import org.testng.annotations.Test;

/** Tests the measurements of a recorded load and its text, JSON and SVG reports. */
public class LoadRecorderTest {
  private static final Endpoint ENTRY = new Endpoint("127.0.0.1", 1);

  @Test
  public void latencyIsMeasuredFromTheScheduledTimeAndOnlyAfterTheWarmUp()
      throws SettingsException {
    LoadResult result = recordSampleLoad();
    assertEquals(result.latency().count(), 2);
    assertEquals(result.latency().p50Millis(), 10, 0.1);
    assertEquals(result.latency().maxMillis(), 200, 0.2);
    assertEquals(result.lateness().maxMillis(), 150, 0.2);
    assertEquals(result.outcomes(), new LoadResult.Outcomes(2, 1, 0, 0, 1, 0));
  }

  @Test
  public void weightIsCountedInTheWindowOfTheResponse() throws SettingsException {
    LoadResult result = recordSampleLoad();
    assertEquals(result.offeredWeight(), 1 + 9 + 1 + 1);
    assertEquals(result.weights().get(0), 2L, "a warm-up call answered after the warm-up");
    assertEquals(result.weights().get(12), 9L);
    assertEquals(result.deliveredWeight(), 11);
  }

  @Test
  public void reportsContainFiguresAndEvents() throws SettingsException {
    String text = BenchReport.formatTable(recordSampleLoad());
    assertTrue(text.contains("weight delivered 11 of 12"), text);
    assertTrue(text.contains("zone out -> 200"), text);
    assertTrue(
        new String(BenchReport.toJson(recordSampleLoad())).contains("\"offeredWeight\" : 12"));
    String svg = BenchPlot.toSvg(recordSampleLoad(), "title of the plot");
    assertTrue(svg.startsWith("<svg"), svg);
    assertTrue(svg.contains("zone out"), svg);
  }

  private static LoadResult recordSampleLoad() throws SettingsException {
    LoadRecorder recorder = new LoadRecorder(ArrivalGeneratorTest.parsePlan(1));
    recordCall(recorder, 0, 1_995, 0, Outcome.ANSWERED, 6);
    recordCall(recorder, 0, 2_000, 0, Outcome.ANSWERED, 10);
    recordCall(recorder, 1, 3_000, 150, Outcome.ANSWERED, 200);
    recordCall(recorder, 0, 4_000, 0, Outcome.NOT_RUN, 1);
    recordCall(recorder, 0, 5_000, 0, Outcome.TIMEOUT, 1_000);
    return recorder.toResult(List.of(new LoadResult.EventResult(500, "zone out", "200")));
  }

  private static void recordCall(
      LoadRecorder recorder,
      int kindIndex,
      long scheduledMillis,
      long sendDelayMillis,
      Outcome outcome,
      long latencyMillis) {
    Arrival arrival =
        new Arrival(TimeUnit.MILLISECONDS.toNanos(scheduledMillis), kindIndex, ENTRY, 1);
    recorder.recordArrival(
        arrival, TimeUnit.MILLISECONDS.toNanos(scheduledMillis + sendDelayMillis));
    recorder.recordEnd(
        arrival, outcome, TimeUnit.MILLISECONDS.toNanos(scheduledMillis + latencyMillis));
  }
}
