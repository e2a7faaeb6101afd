package org.radishpost.routing;

import java.util.Optional;
import org.radishpost.config.Configuration;

/** Finds the route of a request; immutable, one for each configuration in force. */
public interface RouteTable {
  /** Returns the configuration that the table was made from. */
  Configuration configuration();

  /**
   * Finds the first route that takes the request; of two gateways the longer path prefix wins.
   *
   * @param host the value of the Host header without the port, lower case
   * @param method the HTTP method
   * @param path the path, normalized, without the query
   */
  Optional<RouteMatch> find(String host, String method, String path);

  /** Finds a route by its names, for a call that another VM has matched. */
  Optional<RouteMatch> byName(String gateway, String route);
}
