package org.radishpost.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The owner's policy against the baselines in the queueing calculation. */
public class PoolModelTest {
  private static final int MEAN_MILLIS = 3;

  @Test
  public void ownerHalvesTheTailOfTwoChoicesBelowCapacity() {
    PoolModelLine owner = PoolModel.cell(PoolVariant.OWNER, MEAN_MILLIS, 80, 1);
    PoolModelLine twoChoices = PoolModel.cell(PoolVariant.TWO_CHOICES, MEAN_MILLIS, 80, 1);
    assertTrue(owner.p99Millis() < twoChoices.p99Millis() / 2, owner + " " + twoChoices);
    assertTrue(owner.deliveredPercent() > 99.5, owner.toString());
  }

  @Test
  public void ownerDeliversMoreWeightAtTwiceTheCapacity() {
    PoolModelLine owner = PoolModel.cell(PoolVariant.OWNER, MEAN_MILLIS, 200, 1);
    PoolModelLine least = PoolModel.cell(PoolVariant.LEAST_LOADED, MEAN_MILLIS, 200, 1);
    assertTrue(owner.deliveredPercent() > 1.2 * least.deliveredPercent(), owner + " " + least);
  }

  @Test
  public void sameSeedGivesTheSameFigures() {
    PoolModelLine first = PoolModel.cell(PoolVariant.OWNER, MEAN_MILLIS, 50, 7);
    assertEquals(PoolModel.cell(PoolVariant.OWNER, MEAN_MILLIS, 50, 7), first);
  }
}
