package org.radishpost.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.radishpost.config.VersionedManifest;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.ServiceName;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;

/** The pools of one manifest, including those in zones that are out of service. */
final class GatewayPools {
  private final VersionedManifest manifest;
  private final Map<PoolId, PoolSpec> pools = new LinkedHashMap<>();
  private final Map<ServiceName, List<PoolId>> poolsByService = new HashMap<>();

  GatewayPools(VersionedManifest manifest) {
    this.manifest = manifest;
    manifest.manifest().services().forEach(this::addPools);
  }

  boolean builtFrom(VersionedManifest other) {
    return manifest == other;
  }

  VersionedManifest manifest() {
    return manifest;
  }

  Map<PoolId, PoolSpec> pools() {
    return pools;
  }

  List<PoolId> poolsOf(ServiceName service) {
    return poolsByService.getOrDefault(service, List.of());
  }

  private void addPools(ServiceSpec service) {
    GatewayName gateway = manifest.manifest().gateway();
    Map<Place, List<TargetSpec>> targetsByPlace = new LinkedHashMap<>();
    for (TargetSpec target : service.targets()) {
      targetsByPlace.computeIfAbsent(target.place(), unused -> new ArrayList<>()).add(target);
    }
    targetsByPlace.forEach(
        (place, targets) ->
            ShardAssignment.split(targets)
                .forEach(
                    (shard, members) ->
                        addPool(
                            new PoolId(gateway, service.name(), place, shard),
                            new PoolSpec(service, members))));
  }

  private void addPool(PoolId id, PoolSpec spec) {
    pools.put(id, spec);
    poolsByService.computeIfAbsent(id.service(), unused -> new ArrayList<>()).add(id);
  }
}
