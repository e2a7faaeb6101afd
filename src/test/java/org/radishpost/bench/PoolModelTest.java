package org.radishpost.bench;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Compares the owner policy with the baseline policies in the queueing simulation. */
public class PoolModelTest {
  private static final int MEAN_SERVICE_MILLIS = 3;

  @Test
  public void ownerHasLessThanHalfTheP99OfTwoChoicesBelowCapacity() {
    PoolModelResult owner = PoolModel.runSetting(PoolVariant.OWNER, MEAN_SERVICE_MILLIS, 80, 1);
    PoolModelResult twoChoices =
        PoolModel.runSetting(PoolVariant.TWO_CHOICES, MEAN_SERVICE_MILLIS, 80, 1);
    assertTrue(owner.p99Millis() < twoChoices.p99Millis() / 2, owner + " " + twoChoices);
    assertTrue(owner.deliveredPercent() > 99.5, owner.toString());
  }

  @Test
  public void ownerDeliversMoreWeightAtTwiceTheCapacity() {
    PoolModelResult owner = PoolModel.runSetting(PoolVariant.OWNER, MEAN_SERVICE_MILLIS, 200, 1);
    PoolModelResult leastLoaded =
        PoolModel.runSetting(PoolVariant.LEAST_LOADED, MEAN_SERVICE_MILLIS, 200, 1);
    assertTrue(
        owner.deliveredPercent() > 1.2 * leastLoaded.deliveredPercent(), owner + " " + leastLoaded);
  }

  @Test
  public void sameSeedYieldsSameResults() {
    PoolModelResult first = PoolModel.runSetting(PoolVariant.OWNER, MEAN_SERVICE_MILLIS, 50, 7);
    assertEquals(PoolModel.runSetting(PoolVariant.OWNER, MEAN_SERVICE_MILLIS, 50, 7), first);
  }
}
