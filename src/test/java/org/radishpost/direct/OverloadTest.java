package org.radishpost.direct;

import static org.testng.Assert.assertTrue;

import java.lang.reflect.Method;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
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
  private static final List<Load> LOADS =
      List.of(
          new Load(19, 0.8),
          new Load(19, 1.0),
          new Load(19, 1.35),
          new Load(19, 1.6),
          new Load(12, 1.35),
          new Load(28, 1.35));

  private static final String BELOW_FLOOR_SUFFIX = "BelowFloor";
  private static final Map<String, Set<Row>> BELOW_FLOOR =
      Map.of(
          "callsInTimeFallGentlyWithRelays",
          Set.of(new Row(12, 1.35, 4)),
          "callsInTimeFallGentlyWithoutRelays",
          Set.of(new Row(19, 1.35, 4), new Row(12, 1.35, 4)),
          "callsInTimeFallGentlyWhenRelaysFail",
          Set.of(new Row(12, 1.35, 4)),
          "callsInTimeFallGentlyWhenOneRelayFails",
          Set.of(new Row(12, 1.35, 3), new Row(12, 1.35, 4), new Row(28, 1.35, 4)));

  /** Returns the rows of a test method: those below their floor, or all others. */
  @DataProvider
  Iterator<Object[]> rows(Method method) {
    String name = method.getName();
    boolean belowFloor = name.endsWith(BELOW_FLOOR_SUFFIX);
    String scenario = belowFloor ? name.substring(0, name.lastIndexOf(BELOW_FLOOR_SUFFIX)) : name;
    List<Object[]> rows = new ArrayList<>();
    for (long seed = 1; seed <= SEEDS; seed++) {
      for (Load load : LOADS) {
        Row row = new Row(load.targets(), load.share(), seed);
        if (BELOW_FLOOR.get(scenario).contains(row) == belowFloor) {
          rows.add(new Object[] {row});
        }
      }
    }
    return rows.iterator();
  }

  /** Calls queued at the few targets of a large deployment until all of them were late. */
  @Test(dataProvider = "rows")
  public void callsInTimeFallGentlyWithRelays(Row row) {
    checkWithRelays(row);
  }

  /** The rows that still miss their floor (KNOWN-RED.txt), apart so that the others are checked. */
  @Test(dataProvider = "rows")
  public void callsInTimeFallGentlyWithRelaysBelowFloor(Row row) {
    checkWithRelays(row);
  }

  private static void checkWithRelays(Row row) {
    SimulatedFleet fleet = fleet(row, RELAYS);
    offer(fleet, row);
    check(fleet, row, MARGIN_WITH_RELAYS);
  }

  /** As above; entries without a broker sent calls to targets that did not answer probes. */
  @Test(dataProvider = "rows")
  public void callsInTimeFallGentlyWithoutRelays(Row row) {
    checkWithoutRelays(row);
  }

  /** The rows that still miss their floor (KNOWN-RED.txt), apart so that the others are checked. */
  @Test(dataProvider = "rows")
  public void callsInTimeFallGentlyWithoutRelaysBelowFloor(Row row) {
    checkWithoutRelays(row);
  }

  private static void checkWithoutRelays(Row row) {
    SimulatedFleet fleet = fleet(row, 0);
    offer(fleet, row);
    check(fleet, row, MARGIN_WITHOUT_RELAYS);
  }

  /** When all relays fail, the entries must not all send their calls to the same targets. */
  @Test(dataProvider = "rows")
  public void callsInTimeFallGentlyWhenRelaysFail(Row row) {
    checkWhenRelaysFail(row);
  }

  /** The rows that still miss their floor (KNOWN-RED.txt), apart so that the others are checked. */
  @Test(dataProvider = "rows")
  public void callsInTimeFallGentlyWhenRelaysFailBelowFloor(Row row) {
    checkWhenRelaysFail(row);
  }

  private static void checkWhenRelaysFail(Row row) {
    SimulatedFleet fleet = fleet(row, RELAYS);
    fleet.silenceRelaysAfter(DURATION.dividedBy(2), RELAYS);
    offer(fleet, row);
    check(fleet, row, MARGIN_WITHOUT_RELAYS);
  }

  /** A relay of another region must take over the slots of a region whose relay has failed. */
  @Test(dataProvider = "rows")
  public void callsInTimeFallGentlyWhenOneRelayFails(Row row) {
    checkWhenOneRelayFails(row);
  }

  /** The rows that still miss their floor (KNOWN-RED.txt), apart so that the others are checked. */
  @Test(dataProvider = "rows")
  public void callsInTimeFallGentlyWhenOneRelayFailsBelowFloor(Row row) {
    checkWhenOneRelayFails(row);
  }

  private static void checkWhenOneRelayFails(Row row) {
    SimulatedFleet fleet = fleet(row, RELAYS);
    fleet.silenceRelaysAfter(DURATION.dividedBy(2), 1);
    offer(fleet, row);
    check(fleet, row, MARGIN_WITH_RELAYS);
  }

  private static SimulatedFleet fleet(Row row, int relays) {
    return new SimulatedFleet(ENTRIES, row.targets(), HOMES, PROBE_MILLIS, relays, row.seed());
  }

  private static void offer(SimulatedFleet fleet, Row row) {
    fleet.offer((int) offeredPerSecond(row), DURATION);
  }

  private static double offeredPerSecond(Row row) {
    return row.load() * CAPACITY_PER_TARGET * row.targets();
  }

  /** The slowdown of targets is random, so the capacity that a run really had counts. */
  private static void check(SimulatedFleet fleet, Row row, double margin) {
    double floor = Math.min(1, fleet.capacity() / offeredPerSecond(row)) - margin;
    assertTrue(fleet.inTimeShare() >= floor, row + ", floor " + floor + ": " + fleet.describe());
  }

  /**
   * A number of targets and the load that is offered to them.
   *
   * @param targets the number of targets
   * @param share the load as a share of their capacity
   */
  private record Load(int targets, double share) {}

  /**
   * One run of the simulation.
   *
   * @param targets the number of targets
   * @param load the load as a share of their capacity
   * @param seed the seed of all random choices
   */
  record Row(int targets, double load, long seed) {}
}
