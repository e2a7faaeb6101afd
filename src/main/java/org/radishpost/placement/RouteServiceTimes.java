package org.radishpost.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * The mean service time of each route on a target without slowdown, as an exponentially weighted
 * moving average.
 *
 * <p>A call can take many times its service time while it waits at a full target or while this VM
 * is cold. Each call therefore changes the mean by a limited amount.
 *
 * <p>Confined to one thread.
 */
public final class RouteServiceTimes {
  private static final double EWMA_WEIGHT = 0.1;
  private static final double MAX_SAMPLE_RATIO = 2;
  private static final double DEFAULT_SERVICE_NANOS = 100_000_000;

  private final Map<String, Double> nanosByRoute = new HashMap<>();

  /** Creates an instance without observations; every route starts with a default. */
  public RouteServiceTimes() {}

  /** Records the service time of a call and the slowdown of its target at that time. */
  public void record(String route, long nanos, int slowdownPercent) {
    double unslowedNanos =
        (double) nanos * LoadSample.NO_SLOWDOWN_PERCENT / Math.max(1, slowdownPercent);
    double previous = serviceNanos(route);
    double limited = Math.min(unslowedNanos, MAX_SAMPLE_RATIO * previous);
    nanosByRoute.put(route, previous + EWMA_WEIGHT * (limited - previous));
  }

  /** Returns the mean service time of the route on a target without slowdown. */
  public double serviceNanos(String route) {
    return nanosByRoute.getOrDefault(route, DEFAULT_SERVICE_NANOS);
  }
}
