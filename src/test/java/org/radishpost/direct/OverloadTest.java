package org.radishpost.direct;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
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
  private static final double MARGIN_WITH_RELAYS = 0.25;

  private static final double MARGIN_WITHOUT_RELAYS = 0.35;
  private static final int RELAYS = 3;
  private static final int SEEDS = 4;

  @DataProvider
  Iterator<Object[]> loads() {
    Object[][] loads = {{19, 0.8}, {19, 1.0}, {19, 1.35}, {19, 1.6}, {12, 1.35}, {28, 1.35}};
    List<Object[]> rows = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      for (Object[] load : loads) {
        rows.add(new Object[] {load[0], load[1], seed});
      }
    }
    return rows.iterator();
  }

  /** Calls queued at the few targets of a large deployment until all of them were late. */
  @Test(dataProvider = "loads")
  public void callsInTimeFallGentlyWithRelays(int targets, double load, long seed) {
    SimulatedFleet fleet = fleet(targets, RELAYS, seed);
    offer(fleet, targets, load);
    check(fleet, targets, load, MARGIN_WITH_RELAYS);
  }

  /** As above; entries without a broker sent calls to targets that did not answer probes. */
  @Test(dataProvider = "loads")
  public void callsInTimeFallGentlyWithoutRelays(int targets, double load, long seed) {
    SimulatedFleet fleet = fleet(targets, 0, seed);
    offer(fleet, targets, load);
    check(fleet, targets, load, MARGIN_WITHOUT_RELAYS);
  }

  /** When all relays fail, the entries must not all send their calls to the same targets. */
  @Test(dataProvider = "loads")
  public void callsInTimeFallGentlyWhenRelaysFail(int targets, double load, long seed) {
    SimulatedFleet fleet = fleet(targets, RELAYS, seed);
    fleet.silenceRelaysAfter(DURATION.dividedBy(2), RELAYS);
    offer(fleet, targets, load);
    check(fleet, targets, load, MARGIN_WITHOUT_RELAYS);
  }

  /** A relay of another region must take over the slots of a region whose relay has failed. */
  @Test(dataProvider = "loads")
  public void callsInTimeFallGentlyWhenOneRelayFails(int targets, double load, long seed) {
    SimulatedFleet fleet = fleet(targets, RELAYS, seed);
    fleet.silenceRelaysAfter(DURATION.dividedBy(2), 1);
    offer(fleet, targets, load);
    check(fleet, targets, load, MARGIN_WITH_RELAYS);
  }

  private static SimulatedFleet fleet(int targets, int relays, long seed) {
    return new SimulatedFleet(ENTRIES, targets, HOMES, PROBE_MILLIS, relays, seed);
  }

  private static void offer(SimulatedFleet fleet, int targets, double load) {
    fleet.offer((int) (load * CAPACITY_PER_TARGET * targets), DURATION);
  }

  /** The slowdown of targets is random, so the capacity that a run really had counts. */
  private static void check(SimulatedFleet fleet, int targets, double load, double margin) {
    double offered = load * CAPACITY_PER_TARGET * targets;
    double floor = Math.min(1, fleet.capacity() / offered) - margin;
    assertTrue(fleet.inTimeShare() >= floor, "floor " + floor + ": " + fleet.describe());
  }
}
