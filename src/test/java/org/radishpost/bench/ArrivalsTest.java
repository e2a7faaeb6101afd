package org.radishpost.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.radishpost.errors.SettingsException;
import org.testng.annotations.Test;

/** Plans and the arrivals that they give. */
public class ArrivalsTest {
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
  public void samePlanGivesTheSameArrivalsAndNoise() throws SettingsException {
    assertEquals(all(plan(5)), all(plan(5)));
    assertNotEquals(all(plan(5)), all(plan(6)));
    assertEquals(plan(5).allEvents(), plan(5).allEvents());
    assertTrue(plan(5).allEvents().size() > 4, plan(5).allEvents().toString());
  }

  @Test
  public void rateSharesAndEntriesAreThoseOfThePlan() throws SettingsException {
    List<Arrival> arrivals = all(plan(5));
    assertEquals(arrivals.size(), 10_000.0, 400);
    assertEquals(arrivals.stream().filter(a -> a.kind() == 1).count(), 2_500.0, 200);
    long first = arrivals.stream().filter(a -> a.entry().port() == 1).count();
    assertEquals(first, arrivals.size() / 2.0, 2);
    assertTrue(arrivals.getLast().offsetNanos() < 10_000_000_000L);
  }

  @Test
  public void planWithoutEntriesIsRefusedWithRemedy() {
    String text = PLAN.formatted(1).replace("[\"127.0.0.1:1\", \"127.0.0.1:2\"]", "[]");
    try {
      LoadPlan.read(text.getBytes());
    } catch (SettingsException e) {
      assertTrue(e.getMessage().contains("entries: give at least one"), e.getMessage());
      return;
    }
    throw new AssertionError("the plan was taken");
  }

  static LoadPlan plan(long seed) throws SettingsException {
    return LoadPlan.read(PLAN.formatted(seed).getBytes());
  }

  private static List<Arrival> all(LoadPlan plan) {
    Arrivals arrivals = new Arrivals(plan);
    List<Arrival> all = new ArrayList<>();
    for (Optional<Arrival> next = arrivals.next(); next.isPresent(); next = arrivals.next()) {
      all.add(next.get());
    }
    return all;
  }
}
