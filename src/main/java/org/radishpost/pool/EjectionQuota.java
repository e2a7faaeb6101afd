package org.radishpost.pool;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.ZoneName;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;

/**
 * Shares the ejections that a service allows among its zones, the same way on every VM.
 *
 * <p>The service's share, rounded down, goes to its zones by the largest remainder, so that the
 * zones together never go over it.
 */
final class EjectionQuota {
  private static final int PERCENT = 100;

  private EjectionQuota() {}

  /** Returns how many of the pool's targets may be ejected at once. */
  static int maxEjectedTargets(PoolId pool, ServiceSpec service, List<TargetSpec> targets) {
    Map<ZoneName, Integer> targetsByZone = new TreeMap<>();
    service.targets().forEach(t -> targetsByZone.merge(t.place().zone(), 1, Integer::sum));
    int zoneTargets = targetsByZone.getOrDefault(pool.place().zone(), 0);
    if (pool.shard() > 0 || targets.size() < zoneTargets) {
      return targets.size() * service.ejectPercent() / PERCENT;
    }
    int remainder = service.targets().size() * service.ejectPercent() / PERCENT;
    for (int size : targetsByZone.values()) {
      remainder -= size * service.ejectPercent() / PERCENT;
    }
    List<ZoneName> byRemainder =
        targetsByZone.keySet().stream()
            .sorted(
                Comparator.comparingInt(
                    (ZoneName z) -> -(targetsByZone.get(z) * service.ejectPercent() % PERCENT)))
            .toList();
    int rank = byRemainder.indexOf(pool.place().zone());
    int zoneQuota = zoneTargets * service.ejectPercent() / PERCENT;
    return rank >= 0 && rank < remainder ? zoneQuota + 1 : zoneQuota;
  }
}
