package org.radishpost.routing;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.radishpost.config.Configuration;
import org.radishpost.config.VersionedManifest;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.PoolId;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.TargetSpec;

/**
 * The pools of a configuration that are in service, and the pools that may serve each route.
 *
 * <p>A service has one pool in each zone that is in service and contains targets of it; a pool with
 * many targets is split into shards. Every VM derives the same pools from the same configuration.
 * Start with {@link #EMPTY} and call {@link #withConfiguration} on each change. Immutable and
 * thread-safe.
 */
public final class PoolMap {
  /** The empty map, for use before the first configuration. */
  public static final PoolMap EMPTY = new PoolMap(Configuration.EMPTY, Map.of());

  private final Map<GatewayName, GatewayPools> gateways = new HashMap<>();
  private final Map<PoolId, PoolSpec> pools = new LinkedHashMap<>();
  private final Map<RouteKey, Set<PoolId>> candidatesByRoute = new HashMap<>();

  private PoolMap(Configuration configuration, Map<GatewayName, GatewayPools> previous) {
    configuration.manifests().forEach((name, manifest) -> addGateway(previous.get(name), manifest));
    gateways.values().forEach(gateway -> addInService(gateway, configuration));
  }

  /** Returns the pools of the configuration. */
  public static PoolMap of(Configuration configuration) {
    return EMPTY.withConfiguration(configuration);
  }

  /** Returns the pools of a newer configuration, reusing the pools of unchanged manifests. */
  public PoolMap withConfiguration(Configuration configuration) {
    return new PoolMap(configuration, gateways);
  }

  /** Returns all pools in service. */
  public Set<PoolId> pools() {
    return Collections.unmodifiableSet(pools.keySet());
  }

  /** Returns the service and targets of a pool, or empty if the pool is not in service. */
  public Optional<PoolSpec> spec(PoolId pool) {
    return Optional.ofNullable(pools.get(pool));
  }

  /** Returns the targets of a pool, or an empty list if the pool is not in service. */
  public List<TargetSpec> targetsOf(PoolId pool) {
    return spec(pool).map(PoolSpec::targets).orElse(List.of());
  }

  /** Returns the total slots of the targets of a pool when warm, or 0 if it is not in service. */
  public int slots(PoolId pool) {
    PoolSpec spec = pools.get(pool);
    return spec == null ? 0 : spec.slots();
  }

  /**
   * Returns the pools that may serve a route: those in service and within its home regions, in an
   * order that is the same on all VMs.
   */
  public Set<PoolId> candidates(RouteMatch match) {
    return candidatesByRoute.getOrDefault(RouteKey.of(match), Set.of());
  }

  private void addGateway(GatewayPools previous, VersionedManifest manifest) {
    boolean unchanged = previous != null && previous.builtFrom(manifest);
    gateways.put(manifest.manifest().gateway(), unchanged ? previous : new GatewayPools(manifest));
  }

  private void addInService(GatewayPools gateway, Configuration configuration) {
    gateway
        .pools()
        .forEach(
            (id, spec) -> {
              if (configuration.inService(id.place())) {
                pools.put(id, spec);
              }
            });
    for (RouteSpec route : gateway.manifest().manifest().routes()) {
      candidatesByRoute.put(RouteKey.of(gateway.manifest(), route), allowed(gateway, route));
    }
  }

  private Set<PoolId> allowed(GatewayPools gateway, RouteSpec route) {
    Set<PoolId> allowed = new LinkedHashSet<>();
    for (PoolId pool : gateway.poolsOf(route.service())) {
      if (pools.containsKey(pool) && route.allowsRegion(pool.place().region())) {
        allowed.add(pool);
      }
    }
    return Collections.unmodifiableSet(allowed);
  }
}
