package org.radishpost.routing;

import org.radishpost.config.Configuration;

/** Makes route tables; call {@link #of} at each change of the configuration. */
public final class RouteTables {
  private RouteTables() {}

  /** Returns the table of the configuration. */
  public static RouteTable of(Configuration configuration) {
    return new IndexedRouteTable(configuration);
  }

  /** Returns the table of the configuration in which the longest prefix wins. */
  public static RouteTable longestPrefix(Configuration configuration) {
    return new PrefixRouteTable(configuration);
  }
}
