package org.radishpost.routing;

import java.util.Optional;
import org.radishpost.config.Configuration;

/** Finds the route of a request; immutable, built for one configuration. */
public interface RouteTable {
  /** Returns the configuration that the table was built from. */
  Configuration configuration();

  /**
   * Finds the first route that matches the request; between gateways the longer path prefix wins.
   *
   * @param host the value of the Host header field without the port, in lower case
   * @param method the HTTP method
   * @param path the normalized path without the query
   */
  Optional<RouteMatch> find(String host, String method, String path);

  /** Finds a route by its name, for a call that another VM has already matched. */
  Optional<RouteMatch> byName(String gateway, String route);
}
