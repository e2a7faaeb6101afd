package org.radishpost.manifest;

import java.util.List;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.TenantName;

/**
 * The description of one gateway, as a build pipeline publishes it.
 *
 * @param gateway the gateway
 * @param tenant the owner
 * @param baseVersion the version of the gateway's manifest that this one replaces, 0 for none
 * @param services the services, at least one
 * @param routes the routes in the order in which they are tried, at least one
 */
public record Manifest(
    GatewayName gateway,
    TenantName tenant,
    long baseVersion,
    List<ServiceSpec> services,
    List<RouteSpec> routes) {
  /** Copies the lists. */
  public Manifest {
    services = List.copyOf(services);
    routes = List.copyOf(routes);
  }
}
