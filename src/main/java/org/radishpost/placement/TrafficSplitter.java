package org.radishpost.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.radishpost.lib.ServiceName;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.WeightedService;

/**
 * Spreads the calls of a route over its services by their weights.
 *
 * <p>Each call goes to the part that is furthest behind its share, so that every VM keeps the
 * shares by itself and within few calls. Confined to one thread.
 */
public final class TrafficSplitter {
  private static final int START_POSITIONS = 100;

  private final RandomGenerator random;
  private final Map<String, WeightedRoundRobin> byRoute = new HashMap<>();

  /**
   * Creates it without any call.
   *
   * @param random where in the order each split begins, so that the first calls of many VMs don't
   *     all go to its largest part
   */
  public TrafficSplitter(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the service for the next call of the route. */
  public ServiceName next(RouteSpec route) {
    List<WeightedService> split = route.terms().split();
    if (split.isEmpty()) {
      return route.service();
    }
    WeightedRoundRobin roundRobin = byRoute.get(route.name());
    if (roundRobin == null || !roundRobin.split.equals(split)) {
      roundRobin = new WeightedRoundRobin(split);
      roundRobin.skip(random.nextInt(START_POSITIONS));
      byRoute.put(route.name(), roundRobin);
    }
    return roundRobin.next();
  }

  private static final class WeightedRoundRobin {
    private final List<WeightedService> split;
    private final double[] currentWeights;
    private final double totalWeight;

    private WeightedRoundRobin(List<WeightedService> split) {
      this.split = split;
      this.currentWeights = new double[split.size()];
      this.totalWeight = split.stream().mapToDouble(WeightedService::weight).sum();
    }

    private void skip(int calls) {
      for (int i = 0; i < calls; i++) {
        next();
      }
    }

    private ServiceName next() {
      int best = 0;
      for (int i = 0; i < currentWeights.length; i++) {
        currentWeights[i] += split.get(i).weight();
        if (currentWeights[i] > currentWeights[best]) {
          best = i;
        }
      }
      currentWeights[best] -= totalWeight;
      return split.get(best).service();
    }
  }
}
