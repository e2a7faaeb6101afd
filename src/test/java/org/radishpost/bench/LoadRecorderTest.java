package org.radishpost.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.radishpost.errors.SettingsException;
import org.radishpost.lib.Endpoint;
import org.testng.annotations.Test;

/** What is counted of a load, and the forms of its report. */
public class LoadRecorderTest {
  private static final Endpoint ENTRY = new Endpoint("127.0.0.1", 1);

  @Test
  public void latencyCountsFromTheIntendedTimeAndOnlyAfterTheWarmUp() throws SettingsException {
    LoadResult result = result();
    assertEquals(result.latency().count(), 2);
    assertEquals(result.latency().p50Millis(), 10, 0.1);
    assertEquals(result.latency().maxMillis(), 200, 0.2);
    assertEquals(result.lateness().maxMillis(), 150, 0.2);
    assertEquals(result.outcomes(), new LoadResult.Outcomes(2, 1, 0, 0, 1, 0));
  }

  @Test
  public void weightCountsInTheWindowOfTheAnswer() throws SettingsException {
    LoadResult result = result();
    assertEquals(result.offeredWeight(), 1 + 9 + 1 + 1);
    assertEquals(result.weights().get(0), 2L, "a call of the warm-up, answered after it");
    assertEquals(result.weights().get(12), 9L);
    assertEquals(result.deliveredWeight(), 11);
  }

  @Test
  public void reportsHoldFiguresAndEvents() throws SettingsException {
    String text = BenchReport.text(result());
    assertTrue(text.contains("weight delivered 11 of 12"), text);
    assertTrue(text.contains("zone out -> 200"), text);
    assertTrue(new String(BenchReport.json(result())).contains("\"offeredWeight\" : 12"));
    String svg = BenchPlot.svg(result(), "title of the plot");
    assertTrue(svg.startsWith("<svg"), svg);
    assertTrue(svg.contains("zone out"), svg);
  }

  private static LoadResult result() throws SettingsException {
    LoadRecorder recorder = new LoadRecorder(ArrivalsTest.plan(1));
    call(recorder, 0, 1_995, 0, Outcome.ANSWERED, 6);
    call(recorder, 0, 2_000, 0, Outcome.ANSWERED, 10);
    call(recorder, 1, 3_000, 150, Outcome.ANSWERED, 200);
    call(recorder, 0, 4_000, 0, Outcome.NOT_RUN, 1);
    call(recorder, 0, 5_000, 0, Outcome.TIMEOUT, 1_000);
    return recorder.result(List.of(new LoadResult.EventResult(500, "zone out", "200")));
  }

  private static void call(
      LoadRecorder recorder, int kind, long atMillis, long late, Outcome outcome, long took) {
    Arrival arrival = new Arrival(TimeUnit.MILLISECONDS.toNanos(atMillis), kind, ENTRY, 1);
    recorder.sent(arrival, TimeUnit.MILLISECONDS.toNanos(atMillis + late));
    recorder.ended(arrival, outcome, TimeUnit.MILLISECONDS.toNanos(atMillis + took));
  }
}
