package org.radishpost.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/**
 * Runs random schedules with two owners of the same targets. Set the number of seeds with {@code
 * -Dseeds=N}.
 */
public class PoolScheduleTest {
  private static final int SEED_COUNT = Integer.getInteger("seeds", 30);
  private static final int TARGETS = 6;
  private static final long STEP_NANOS = 200 * PoolFixture.NANOS_PER_MILLI;
  private static final long CALL_INTERVAL_NANOS = PoolFixture.NANOS_PER_MILLI / 2;
  private static final long PROBE_INTERVAL_NANOS = PoolFixture.PROBE_INTERVAL.toNanos();

  @Test
  public void twoOwnersStayWithinTheColdStartLimits() {
    LongStream.range(0, SEED_COUNT)
        .forEach(seed -> assertEquals(coldStartViolations(seed, 2), List.of(), "seed " + seed));
  }

  @Test
  public void ownersThatDoNotSplitTheColdStartLimitsViolateThem() {
    assertFalse(coldStartViolations(1, 1).isEmpty());
  }

  @Test
  public void probesStayWithinTheBudgetWhenAllOwnersRestart() {
    for (long seed = 0; seed < SEED_COUNT; seed++) {
      assertTrue(maxProbesInTwoIntervals(seed, 2) <= 2, "seed " + seed);
    }
  }

  @Test
  public void ownersThatDoNotSplitTheProbeBudgetExceedIt() {
    assertTrue(maxProbesInTwoIntervals(1, 1) > 2);
  }

  @Test
  public void everyCallEndsOnceUnderRandomFaults() {
    for (long seed = 0; seed < SEED_COUNT; seed++) {
      PoolSimulation simulation = simulation(seed, 2);
      for (int step = 0; step < 40; step++) {
        FakeTarget target = simulation.target(simulation.random.nextInt(TARGETS));
        FakeTarget.Mode[] modes = FakeTarget.Mode.values();
        target.mode = modes[simulation.random.nextInt(modes.length)];
        simulation.offerLoad(STEP_NANOS, CALL_INTERVAL_NANOS);
      }
      simulation.runUntil(simulation.nowNanos + PoolFixture.NANOS_PER_SECOND);
      assertEquals(simulation.violations, List.of(), "seed " + seed);
      assertEquals(simulation.openCallCount(), 0, "seed " + seed);
      assertTrue(simulation.responses > 1_000, "seed " + seed);
    }
  }

  private static PoolSimulation simulation(long seed, int assumedOwners) {
    return new PoolSimulation(seed, PoolFixture.service(TARGETS, 4, 40), 2, assumedOwners);
  }

  private static List<String> coldStartViolations(long seed, int assumedOwners) {
    PoolSimulation simulation = simulation(seed, assumedOwners);
    for (int step = 0; step < 60; step++) {
      if (simulation.random.nextInt(4) == 0) {
        simulation.restartTarget(simulation.target(simulation.random.nextInt(TARGETS)));
      }
      simulation.offerLoad(STEP_NANOS, CALL_INTERVAL_NANOS);
    }
    return simulation.violations;
  }

  private static int maxProbesInTwoIntervals(long seed, int assumedOwners) {
    PoolSimulation simulation = simulation(seed, assumedOwners);
    for (int step = 0; step < 150; step++) {
      if (simulation.random.nextInt(12) == 0) {
        simulation.replaceOwner(0);
        simulation.replaceOwner(1);
      }
      simulation.runUntil(simulation.nowNanos + STEP_NANOS);
    }
    int max = 0;
    for (FakeTarget target : simulation.targets.values()) {
      for (long start : target.probeTimesNanos) {
        long count =
            target.probeTimesNanos.stream()
                .filter(t -> t >= start && t < start + 2 * PROBE_INTERVAL_NANOS)
                .count();
        max = (int) Math.max(max, count);
      }
    }
    assertTrue(max > 0, "no target was probed");
    return max;
  }
}
