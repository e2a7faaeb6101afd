package org.radishpost.link;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** The send queue limit holds, also after rejected reservations. */
public class SendQueueLimitTest {
  @Test
  public void framesAndBytesAreBounded() {
    SendQueueLimit limit = new SendQueueLimit(2, 100);
    assertTrue(limit.tryReserve(60));
    assertFalse(limit.tryReserve(60));
    assertTrue(limit.tryReserve(40));
    assertFalse(limit.tryReserve(0));
    limit.release(60);
    assertTrue(limit.tryReserve(60));
  }

  @Test
  public void rejectedReservationsDoNotChangeTheLimit() {
    SendQueueLimit limit = new SendQueueLimit(1, 100);
    assertTrue(limit.tryReserve(80));
    for (int i = 0; i < 1_000; i++) {
      assertFalse(limit.tryReserve(80));
    }
    limit.release(80);
    assertFalse(limit.tryReserve(101));
    assertTrue(limit.tryReserve(100));
  }

  @Test
  public void unconditionalReservationsCount() {
    SendQueueLimit limit = new SendQueueLimit(2, 100);
    limit.reserve(90);
    assertFalse(limit.tryReserve(20));
    limit.release(90);
    assertTrue(limit.tryReserve(20));
  }
}
