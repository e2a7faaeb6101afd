package org.radishpost.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * How long the calls of each route take on a target of usual pace, as a moving mean.
 *
 * <p>Confined to one thread.
 */
public final class WorkTimes {
  private static final double NEWEST_SHARE = 0.05;
  private static final double FIRST_GUESS_NANOS = 100_000_000;

  private final Map<String, Double> nanosByRoute = new HashMap<>();

  /** Creates it without any observation. */
  public WorkTimes() {}

  /** Takes note of an answer. */
  public void answered(String route, long nanos, int pacePercent) {
    double atUsualPace = (double) nanos * LoadSample.USUAL_PACE_PERCENT / Math.max(1, pacePercent);
    nanosByRoute.merge(route, atUsualPace, (old, fresh) -> old + NEWEST_SHARE * (fresh - old));
  }

  /** Returns how long a call of the route takes at the usual pace. */
  public double nanos(String route) {
    return nanosByRoute.getOrDefault(route, FIRST_GUESS_NANOS);
  }
}
