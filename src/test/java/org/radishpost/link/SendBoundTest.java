package org.radishpost.link;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** What waits to be written stays bounded, however often there was no room. */
public class SendBoundTest {
  @Test
  public void framesAndBytesAreBounded() {
    SendBound bound = new SendBound(2, 100);
    assertTrue(bound.take(60));
    assertFalse(bound.take(60));
    assertTrue(bound.take(40));
    assertFalse(bound.take(0));
    bound.release(60);
    assertTrue(bound.take(60));
  }

  @Test
  public void refusalsLeaveTheBoundAsItWas() {
    SendBound bound = new SendBound(1, 100);
    assertTrue(bound.take(80));
    for (int i = 0; i < 1_000; i++) {
      assertFalse(bound.take(80));
    }
    bound.release(80);
    assertFalse(bound.take(101));
    assertTrue(bound.take(100));
  }

  @Test
  public void framesThatMustGoOutCount() {
    SendBound bound = new SendBound(2, 100);
    bound.force(90);
    assertFalse(bound.take(20));
    bound.release(90);
    assertTrue(bound.take(20));
  }
}
