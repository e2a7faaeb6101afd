package org.radishpost.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests how the mean service time of a route follows the observed ones. */
public class RouteServiceTimesTest {
  private static final long MILLI_NANOS = 1_000_000L;
  private static final double DEFAULT_MILLIS = 100;

  private final RouteServiceTimes times = new RouteServiceTimes();

  private double millisAfter(String route, int calls, long millis, int slowdownPercent) {
    for (int i = 0; i < calls; i++) {
      times.record(route, millis * MILLI_NANOS, slowdownPercent);
    }
    return times.serviceNanos(route) / MILLI_NANOS;
  }

  /**
   * The first call of a cold VM took a second, so that all targets seemed too slow for the deadline
   * and calls were refused at once.
   */
  @Test
  public void slowFirstCallDoesNotSetTheServiceTime() {
    assertTrue(millisAfter("cold", 1, 1_000, 100) <= 1.1 * DEFAULT_MILLIS);
  }

  @Test
  public void meanFollowsServiceTimes() {
    assertEquals(millisAfter("long", 100, 360, 100), 360, 20);
    assertEquals(millisAfter("short", 100, 20, 100), 20, 2);
  }

  @Test
  public void slowdownOfTheTargetDoesNotCount() {
    assertEquals(millisAfter("slowed", 100, 480, 400), 120, 5);
  }
}
