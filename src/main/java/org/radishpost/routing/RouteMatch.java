package org.radishpost.routing;

import org.radishpost.config.VersionedManifest;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.ServiceSpec;

/**
 * A route together with its manifest and service.
 *
 * @param manifest the manifest that defines the route
 * @param route the route
 * @param service the service of the route
 */
public record RouteMatch(VersionedManifest manifest, RouteSpec route, ServiceSpec service) {}
