package org.radishpost.pool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.testng.annotations.Test;

/** Random schedules over two owners of the same targets; {@code -Dseeds=N} runs more of them. */
public class PoolScheduleTest {
  private static final int SEEDS = Integer.getInteger("seeds", 30);
  private static final int TARGETS = 6;
  private static final long STEP = 200 * PoolFixture.MILLI;
  private static final long GAP = PoolFixture.MILLI / 2;
  private static final long INTERVAL = PoolFixture.PROBE_INTERVAL.toNanos();

  @Test
  public void twoOwnersTogetherKeepToTheColdLimits() {
    LongStream.range(0, SEEDS)
        .forEach(seed -> assertEquals(coldFaults(seed, 2), List.of(), "seed " + seed));
  }

  @Test
  public void ownersThatDoNotShareTheColdLimitsAreFound() {
    assertFalse(coldFaults(1, 1).isEmpty());
  }

  @Test
  public void probesKeepToTheBudgetOverRestartsOfAllOwners() {
    for (long seed = 0; seed < SEEDS; seed++) {
      assertTrue(mostProbesInTwoIntervals(seed, 2) <= 2, "seed " + seed);
    }
  }

  @Test
  public void ownersThatDoNotShareTheProbeBudgetAreFound() {
    assertTrue(mostProbesInTwoIntervals(1, 1) > 2);
  }

  @Test
  public void noCallIsLostOrEndsTwiceUnderAnyFaults() {
    for (long seed = 0; seed < SEEDS; seed++) {
      PoolWorld world = world(seed, 2);
      for (int step = 0; step < 40; step++) {
        FakeTarget target = world.target(world.random.nextInt(TARGETS));
        FakeTarget.Mode[] modes = FakeTarget.Mode.values();
        target.mode = modes[world.random.nextInt(modes.length)];
        world.load(STEP, GAP);
      }
      world.run(world.now + PoolFixture.SECOND);
      assertEquals(world.faults, List.of(), "seed " + seed);
      assertEquals(world.openCalls(), 0, "seed " + seed);
      assertTrue(world.answered > 1_000, "seed " + seed);
    }
  }

  private static PoolWorld world(long seed, int ownersAssumed) {
    return new PoolWorld(seed, PoolFixture.service(TARGETS, 4, 40), 2, ownersAssumed);
  }

  private static List<String> coldFaults(long seed, int ownersAssumed) {
    PoolWorld world = world(seed, ownersAssumed);
    for (int step = 0; step < 60; step++) {
      if (world.random.nextInt(4) == 0) {
        world.restartTarget(world.target(world.random.nextInt(TARGETS)));
      }
      world.load(STEP, GAP);
    }
    return world.faults;
  }

  private static int mostProbesInTwoIntervals(long seed, int ownersAssumed) {
    PoolWorld world = world(seed, ownersAssumed);
    for (int step = 0; step < 150; step++) {
      if (world.random.nextInt(12) == 0) {
        world.replaceOwner(0);
        world.replaceOwner(1);
      }
      world.run(world.now + STEP);
    }
    int most = 0;
    for (FakeTarget target : world.targets.values()) {
      for (long from : target.probes) {
        long within =
            target.probes.stream().filter(t -> t >= from && t < from + 2 * INTERVAL).count();
        most = (int) Math.max(most, within);
      }
    }
    assertTrue(most > 0, "no target was probed");
    return most;
  }
}
