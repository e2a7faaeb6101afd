package org.radishpost.placement;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests the load of a target after a call has ended. */
public class LoadSampleTest {
  @Test
  public void endedCallFreesItsSlot() {
    assertEquals(new LoadSample(2, 0, 2, 100).afterOneCall(), new LoadSample(1, 0, 2, 100));
    assertEquals(new LoadSample(0, 0, 2, 100).afterOneCall(), new LoadSample(0, 0, 2, 100));
  }

  @Test
  public void queuedCallTakesTheSlotOfTheEndedCall() {
    assertEquals(new LoadSample(2, 3, 2, 400).afterOneCall(), new LoadSample(2, 2, 2, 400));
  }
}
