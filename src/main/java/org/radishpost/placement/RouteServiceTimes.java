package org.radishpost.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * How long the calls of each route take on a target of usual pace, as a moving mean.
 *
 * <p>Confined to one thread.
 */
public final class RouteServiceTimes {
  private static final double EWMA_WEIGHT = 0.05;
  private static final double DEFAULT_SERVICE_NANOS = 100_000_000;

  private final Map<String, Double> nanosByRoute = new HashMap<>();

  /** Creates it without any observation. */
  public RouteServiceTimes() {}

  /** Takes note of an answer. */
  public void record(String route, long nanos, int slowdownPercent) {
    double unslowedNanos =
        (double) nanos * LoadSample.NO_SLOWDOWN_PERCENT / Math.max(1, slowdownPercent);
    nanosByRoute.merge(
        route, unslowedNanos, (previous, latest) -> previous + EWMA_WEIGHT * (latest - previous));
  }

  /** Returns how long a call of the route takes at the usual pace. */
  public double serviceNanos(String route) {
    return nanosByRoute.getOrDefault(route, DEFAULT_SERVICE_NANOS);
  }
}
