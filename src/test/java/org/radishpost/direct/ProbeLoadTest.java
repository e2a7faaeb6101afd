package org.radishpost.direct;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Set;
import org.radishpost.lib.RegionName;
import org.testng.annotations.Test;

/** Tests how many calls targets serve in time when they have more load than they can serve. */
public class ProbeLoadTest {
  private static final Duration DURATION = Duration.ofSeconds(10);
  private static final Set<RegionName> HOMES = Set.of(new RegionName("k"), new RegionName("l"));
  private static final int ENTRIES = 109;
  private static final int TARGETS = 28;
  private static final double PROBE_MILLIS = 6;

  /** Calls per second that the targets can serve if both slots are always in use. */
  private static final int CAPACITY = 160;

  /** The floor of the users' days for the worst-served class. */
  private static final double MIN_IN_TIME_SHARE = 0.17;

  private static final double MAX_PROBE_GROWTH = 1.2;
  private static final int SEEDS = 3;

  private static SimulatedFleet runAt(double load, long seed) {
    SimulatedFleet fleet = new SimulatedFleet(ENTRIES, TARGETS, HOMES, PROBE_MILLIS, 0, seed);
    fleet.offer((int) (load * CAPACITY), DURATION);
    return fleet;
  }

  /** Calls waited at full targets until all of them were late, while probes took the slots. */
  @Test
  public void overloadedTargetsStillServeCallsInTime() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SimulatedFleet fleet = runAt(1.35, seed);
      assertTrue(
          fleet.inTimeShare() >= MIN_IN_TIME_SHARE, "seed " + seed + ": " + fleet.describe());
    }
  }

  /** Each held call probed again and again, which made full targets fuller. */
  @Test
  public void probesPerCallDoNotGrowWithTheLoad() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      double probesAtLowLoad = runAt(0.3, seed).probesPerCall();
      SimulatedFleet full = runAt(1, seed);
      assertTrue(
          full.probesPerCall() <= MAX_PROBE_GROWTH * probesAtLowLoad,
          "seed " + seed + ": " + probesAtLowLoad + " probes a call before, " + full.describe());
    }
  }
}
