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
 * Divides the ejection quota of a service among its zones.
 *
 * <p>The quota is the number of targets that may be ejected at the same time: a percentage of the
 * service's targets, rounded down. The quota is divided among the zones by the largest remainder
 * method, so the sum of the parts never exceeds the quota. Every VM computes the same result.
 */
final class EjectionQuota {
  private static final int PERCENT = 100;

  private EjectionQuota() {}

  /** Returns the maximum number of targets of the pool that may be ejected at the same time. */
  static int maxEjectedTargets(PoolId pool, ServiceSpec service, List<TargetSpec> targets) {
    Map<ZoneName, Integer> targetsByZone = new TreeMap<>();
    service.targets().forEach(t -> targetsByZone.merge(t.place().zone(), 1, Integer::sum));
    int zoneTargets = targetsByZone.getOrDefault(pool.place().zone(), 0);
    if (pool.shard() > 0 || targets.size() < zoneTargets) {
      return targets.size() * service.ejectPercent() / PERCENT;
    }
    int remainingQuota = service.targets().size() * service.ejectPercent() / PERCENT;
    for (int size : targetsByZone.values()) {
      remainingQuota -= size * service.ejectPercent() / PERCENT;
    }
    List<ZoneName> byRemainder =
        targetsByZone.keySet().stream()
            .sorted(
                Comparator.comparingInt(
                    (ZoneName z) -> -(targetsByZone.get(z) * service.ejectPercent() % PERCENT)))
            .toList();
    int rank = byRemainder.indexOf(pool.place().zone());
    int zoneQuota = zoneTargets * service.ejectPercent() / PERCENT;
    return rank >= 0 && rank < remainingQuota ? zoneQuota + 1 : zoneQuota;
  }
}
