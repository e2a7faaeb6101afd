package org.radishpost.direct;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Set;
import org.radishpost.lib.RegionName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the share of calls in time falls gently when targets have more load than capacity: no
 * faster than the ratio of capacity to load, less a margin.
 */
public class OverloadTest {
  private static final Duration DURATION = Duration.ofSeconds(10);
  private static final Set<RegionName> HOMES = Set.of(new RegionName("k"), new RegionName("l"));
  private static final int ENTRIES = 109;
  private static final double PROBE_MILLIS = 6;

  /** Calls per second that a target serves if both slots are always in use. */
  private static final double CAPACITY_PER_TARGET = 5.6;

  /** Part of the calls that may be late in addition to those that exceed the capacity. */
  private static final double MARGIN_WITHOUT_RELAYS = 0.35;

  private static final int SEEDS = 2;

  @DataProvider
  Object[][] loads() {
    return new Object[][] {
      {19, 0.8}, {19, 1.0}, {19, 1.35}, {19, 1.6}, {12, 1.35}, {28, 1.35},
    };
  }

  /** Calls queued at the few targets of a large deployment until all of them were late. */
  @Test(dataProvider = "loads")
  public void callsInTimeFallGentlyWithoutRelays(int targets, double load) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedFleet fleet = new SimulatedFleet(ENTRIES, targets, HOMES, PROBE_MILLIS, seed);
      fleet.offer((int) (load * CAPACITY_PER_TARGET * targets), DURATION);
      check(fleet, load, MARGIN_WITHOUT_RELAYS, seed);
    }
  }

  private static void check(SimulatedFleet fleet, double load, double margin, long seed) {
    double floor = Math.min(1, 1 / load) - margin;
    assertTrue(
        fleet.inTimeShare() >= floor,
        "seed " + seed + ", floor " + floor + ": " + fleet.describe());
  }
}
