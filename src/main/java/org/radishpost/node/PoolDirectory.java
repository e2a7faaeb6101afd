package org.radishpost.node;

import java.util.Optional;
import java.util.Set;
import org.radishpost.config.Configuration;
import org.radishpost.lib.PoolId;
import org.radishpost.routing.PoolMap;
import org.radishpost.routing.PoolSlots;
import org.radishpost.routing.PoolSpec;
import org.radishpost.routing.RouteMatch;
import org.radishpost.routing.RouteTable;
import org.radishpost.routing.RouteTables;

/** The routes and pools of the active configuration; thread-safe. */
final class PoolDirectory implements PoolSlots {
  private volatile ActiveConfiguration active =
      new ActiveConfiguration(RouteTables.of(Configuration.EMPTY), PoolMap.of(Configuration.EMPTY));

  /** Makes a configuration the active one. */
  void install(Configuration configuration) {
    active =
        new ActiveConfiguration(
            RouteTables.of(configuration), active.pools().withConfiguration(configuration));
  }

  /** Returns the active routes. */
  RouteTable routes() {
    return active.routes();
  }

  /** Returns the pools that may serve a route. */
  Set<PoolId> candidates(RouteMatch match) {
    return active.pools().candidates(match);
  }

  /** Returns all pools that are in service. */
  Set<PoolId> pools() {
    return active.pools().pools();
  }

  @Override
  public int of(PoolId pool) {
    return active.pools().slots(pool);
  }

  /** Returns the service and the targets of a pool; empty if the pool is not in service. */
  Optional<PoolSpec> spec(PoolId pool) {
    return active.pools().spec(pool);
  }

  /**
   * The routes and pools of one configuration.
   *
   * @param routes the routes
   * @param pools the pools
   */
  private record ActiveConfiguration(RouteTable routes, PoolMap pools) {}
}
