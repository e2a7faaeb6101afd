package org.radishpost.manifest;

import java.util.List;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.TenantName;

/**
 * The description of a gateway, as published by a build pipeline.
 *
 * @param gateway the gateway
 * @param tenant the tenant that owns the gateway
 * @param baseVersion the version of the gateway's manifest that this manifest replaces, 0 for none
 * @param services the services, at least one
 * @param routes the routes in the order in which they are matched, at least one
 */
public record Manifest(
    GatewayName gateway,
    TenantName tenant,
    long baseVersion,
    List<ServiceSpec> services,
    List<RouteSpec> routes) {
  /** Creates the record with immutable copies of the lists. */
  public Manifest {
    services = List.copyOf(services);
    routes = List.copyOf(routes);
  }
}
