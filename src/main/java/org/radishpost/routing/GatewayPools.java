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

/** The pools of one manifest, whether their places are in service or not. */
final class GatewayPools {
  private final VersionedManifest manifest;
  private final Map<PoolId, PoolSpec> pools = new LinkedHashMap<>();
  private final Map<ServiceName, List<PoolId>> byService = new HashMap<>();

  GatewayPools(VersionedManifest manifest) {
    this.manifest = manifest;
    manifest.manifest().services().forEach(this::add);
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

  List<PoolId> of(ServiceName service) {
    return byService.getOrDefault(service, List.of());
  }

  private void add(ServiceSpec service) {
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
                        add(
                            new PoolId(gateway, service.name(), place, shard),
                            new PoolSpec(service, members))));
  }

  private void add(PoolId id, PoolSpec spec) {
    pools.put(id, spec);
    byService.computeIfAbsent(id.service(), unused -> new ArrayList<>()).add(id);
  }
}
