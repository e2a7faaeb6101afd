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
public final class SplitPicker {
  private static final int PHASES = 100;

  private final RandomGenerator random;
  private final Map<String, Shares> byRoute = new HashMap<>();

  /**
   * Creates it without any call.
   *
   * @param random where in the order each split begins, so that the first calls of many VMs don't
   *     all go to its largest part
   */
  public SplitPicker(RandomGenerator random) {
    this.random = random;
  }

  /** Returns the service for the next call of the route. */
  public ServiceName next(RouteSpec route) {
    List<WeightedService> split = route.terms().split();
    if (split.isEmpty()) {
      return route.service();
    }
    Shares shares = byRoute.get(route.name());
    if (shares == null || !shares.split.equals(split)) {
      shares = new Shares(split);
      shares.skip(random.nextInt(PHASES));
      byRoute.put(route.name(), shares);
    }
    return shares.next();
  }

  private static final class Shares {
    private final List<WeightedService> split;
    private final double[] credit;
    private final double total;

    private Shares(List<WeightedService> split) {
      this.split = split;
      this.credit = new double[split.size()];
      this.total = split.stream().mapToDouble(WeightedService::weight).sum();
    }

    private void skip(int calls) {
      for (int i = 0; i < calls; i++) {
        next();
      }
    }

    private ServiceName next() {
      int best = 0;
      for (int i = 0; i < credit.length; i++) {
        credit[i] += split.get(i).weight();
        if (credit[i] > credit[best]) {
          best = i;
        }
      }
      credit[best] -= total;
      return split.get(best).service();
    }
  }
}
