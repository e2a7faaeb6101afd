package org.radishpost.routing;

import org.radishpost.config.VersionedManifest;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.ServiceSpec;

/**
 * A route with what belongs to it.
 *
 * @param manifest the manifest that it stands in
 * @param route the route
 * @param service its service
 */
public record RouteMatch(VersionedManifest manifest, RouteSpec route, ServiceSpec service) {}
