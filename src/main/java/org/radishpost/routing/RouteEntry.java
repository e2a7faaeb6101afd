package org.radishpost.routing;

import org.radishpost.lib.GatewayName;
import org.radishpost.manifest.RouteSpec;

/** A route in a table with its position in its gateway's order. */
record RouteEntry(RouteMatch match, int position) {
  GatewayName gateway() {
    return match.manifest().manifest().gateway();
  }

  RouteSpec route() {
    return match.route();
  }
}
