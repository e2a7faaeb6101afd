package org.radishpost.routing;

import org.radishpost.config.Configuration;

/** Builds route tables; a new one is needed after each change of the configuration. */
public final class RouteTables {
  private RouteTables() {}

  /** Builds a table in which the manifest order decides between the routes of a gateway. */
  public static RouteTable of(Configuration configuration) {
    return new IndexedRouteTable(configuration);
  }

  /** Builds a table in which the longest path prefix wins. */
  public static RouteTable longestPrefix(Configuration configuration) {
    return new PrefixRouteTable(configuration);
  }
}
