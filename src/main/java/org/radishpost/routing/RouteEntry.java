package org.radishpost.routing;

import org.radishpost.lib.GatewayName;
import org.radishpost.manifest.RouteSpec;

/** A route in a route table, with its position in the manifest of its gateway. */
record RouteEntry(RouteMatch match, int position) {
  GatewayName gateway() {
    return match.manifest().manifest().gateway();
  }

  RouteSpec route() {
    return match.route();
  }
}
