package org.radishpost.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/** No key runs twice under random faults; more seeds by {@code -Dseeds=N}. */
public class ClaimScheduleTest {
  private static final int SEEDS = Integer.getInteger("seeds", 40);
  private static final int STEPS = 1_500;

  @Test
  public void noKeyRunsTwice() {
    int granted = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      ClaimWorld world = new ClaimWorld(new SplittableRandom(seed), ClaimWorld.Mutation.NONE);
      assertEquals(world.run(STEPS), Optional.empty(), "seed " + seed + "\n" + world.timeLine());
      world.checkRecovery();
      granted += world.granted();
    }
    assertTrue(granted > 50 * SEEDS, "only " + granted + " claims were granted");
  }
}
