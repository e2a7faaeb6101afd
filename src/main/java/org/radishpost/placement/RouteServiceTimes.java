package org.radishpost.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * The mean service time of each route on a target without slowdown, as an exponentially weighted
 * moving average.
 *
 * <p>Confined to one thread.
 */
public final class RouteServiceTimes {
  private static final double EWMA_WEIGHT = 0.05;
  private static final double DEFAULT_SERVICE_NANOS = 100_000_000;

  private final Map<String, Double> nanosByRoute = new HashMap<>();

  /** Creates an instance without observations; every route starts with a default. */
  public RouteServiceTimes() {}

  /** Records the service time of a call and the slowdown of its target at that time. */
  public void record(String route, long nanos, int slowdownPercent) {
    double unslowedNanos =
        (double) nanos * LoadSample.NO_SLOWDOWN_PERCENT / Math.max(1, slowdownPercent);
    nanosByRoute.merge(
        route, unslowedNanos, (previous, latest) -> previous + EWMA_WEIGHT * (latest - previous));
  }

  /** Returns the mean service time of the route on a target without slowdown. */
  public double serviceNanos(String route) {
    return nanosByRoute.getOrDefault(route, DEFAULT_SERVICE_NANOS);
  }
}
