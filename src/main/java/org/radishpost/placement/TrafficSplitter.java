package org.radishpost.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.radishpost.lib.ServiceName;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.WeightedService;

/**
 * Distributes the calls of a route over its services in proportion to their weights.
 *
 * <p>Uses smooth weighted round robin, which keeps the proportions within a few calls. Each VM
 * keeps them on its own, without coordination. Confined to one thread.
 */
public final class TrafficSplitter {
  private static final int START_POSITIONS = 100;

  private final RandomGenerator random;
  private final Map<String, WeightedRoundRobin> roundRobinByRoute = new HashMap<>();

  /**
   * Creates a splitter.
   *
   * @param random chooses the start position of each route in its round-robin order; otherwise the
   *     first call of every VM would go to the service with the largest weight
   */
  public TrafficSplitter(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the service for the next call of the route. */
  public ServiceName next(RouteSpec route) {
    List<WeightedService> split = route.policy().split();
    if (split.isEmpty()) {
      return route.service();
    }
    WeightedRoundRobin roundRobin = roundRobinByRoute.get(route.name());
    if (roundRobin == null || !roundRobin.split.equals(split)) {
      roundRobin = new WeightedRoundRobin(split);
      roundRobin.skip(random.nextInt(START_POSITIONS));
      roundRobinByRoute.put(route.name(), roundRobin);
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
