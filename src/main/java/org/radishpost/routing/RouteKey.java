package org.radishpost.routing;

import org.radishpost.config.VersionedManifest;
import org.radishpost.manifest.RouteSpec;

/** The gateway name and route name that together identify a route on all VMs. */
record RouteKey(String gateway, String route) {
  static RouteKey of(VersionedManifest manifest, RouteSpec route) {
    return new RouteKey(manifest.manifest().gateway().value(), route.name());
  }

  static RouteKey of(RouteMatch match) {
    return of(match.manifest(), match.route());
  }
}
