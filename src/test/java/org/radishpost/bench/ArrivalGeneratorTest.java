package org.radishpost.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.radishpost.errors.SettingsException;
import org.testng.annotations.Test;

/** Tests the parsing of load plans and the arrivals and events they yield. */
public class ArrivalGeneratorTest {
  private static final String PLAN =
      """
      {"seed": %d, "callsPerSecond": 1000, "warmUpMillis": 2000, "durationMillis": 8000,
       "timeoutMillis": 1000, "maxInFlight": 10, "entries": ["127.0.0.1:1", "127.0.0.1:2"],
       "kinds": [
         {"name": "read", "method": "GET", "path": "/", "share": 3, "weight": 1},
         {"name": "sign", "method": "POST", "path": "/s", "share": 1, "weight": 9, "key": true}],
       "noise": {"targets": ["127.0.0.1:3"], "factor": 4, "share": 0.1, "meanMillis": 100}}
      """;

  @Test
  public void samePlanYieldsSameArrivalsAndEvents() throws SettingsException {
    assertEquals(allArrivals(parsePlan(5)), allArrivals(parsePlan(5)));
    assertNotEquals(allArrivals(parsePlan(5)), allArrivals(parsePlan(6)));
    assertEquals(parsePlan(5).allEvents(), parsePlan(5).allEvents());
    assertTrue(parsePlan(5).allEvents().size() > 4, parsePlan(5).allEvents().toString());
  }

  @Test
  public void arrivalsMatchRateSharesAndEntriesOfThePlan() throws SettingsException {
    List<Arrival> arrivals = allArrivals(parsePlan(5));
    assertEquals(arrivals.size(), 10_000.0, 400);
    assertEquals(arrivals.stream().filter(a -> a.kindIndex() == 1).count(), 2_500.0, 200);
    long sentToFirstEntry = arrivals.stream().filter(a -> a.entry().port() == 1).count();
    assertEquals(sentToFirstEntry, arrivals.size() / 2.0, 2);
    assertTrue(arrivals.getLast().offsetNanos() < 10_000_000_000L);
  }

  @Test
  public void planWithoutEntriesIsRejectedWithRemedy() {
    String json = PLAN.formatted(1).replace("[\"127.0.0.1:1\", \"127.0.0.1:2\"]", "[]");
    try {
      LoadPlan.parse(json.getBytes());
    } catch (SettingsException e) {
      assertTrue(e.getMessage().contains("entries: give at least one"), e.getMessage());
      return;
    }
    throw new AssertionError("the plan without entries was accepted");
  }

  static LoadPlan parsePlan(long seed) throws SettingsException {
    return LoadPlan.parse(PLAN.formatted(seed).getBytes());
  }

  private static List<Arrival> allArrivals(LoadPlan plan) {
    ArrivalGenerator arrivals = new ArrivalGenerator(plan);
    List<Arrival> result = new ArrayList<>();
    for (Optional<Arrival> next = arrivals.next(); next.isPresent(); next = arrivals.next()) {
      result.add(next.get());
    }
    return result;
  }
}
