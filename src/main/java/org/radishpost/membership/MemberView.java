package org.radishpost.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.VmId;
import org.radishpost.lib.ZoneName;
import org.radishpost.store.VmEntry;

/** A snapshot of the members, with a cache of the owners chosen from them; thread-safe. */
final class MemberView {
  private static final int MAX_CACHED_OWNERS = 65_536;

  private final List<Member> all;
  private final Map<VmId, Member> byId = new HashMap<>();
  private final Map<ZoneName, OwnerCandidates> candidatesByZone = new HashMap<>();
  private final Map<RegionName, OwnerCandidates> candidatesByRegion = new HashMap<>();
  private final OwnerCandidates allCandidates;
  private final Map<PoolId, Optional<VmEntry>> poolOwners = new ConcurrentHashMap<>();
  private final Map<ShardKey, Optional<VmEntry>> shardOwners = new ConcurrentHashMap<>();

  private record ShardKey(String shard, Set<RegionName> regions) {}

  /**
   * Creates a view.
   *
   * @param all every known VM
   * @param owners the VMs that may own pools or shards
   */
  MemberView(List<Member> all, List<VmEntry> owners) {
    this.all = List.copyOf(all);
    all.forEach(member -> byId.put(member.entry().id(), member));
    Map<ZoneName, List<VmEntry>> byZone = new HashMap<>();
    Map<RegionName, List<VmEntry>> byRegion = new HashMap<>();
    for (VmEntry owner : owners) {
      byZone.computeIfAbsent(owner.place().zone(), zone -> new ArrayList<>()).add(owner);
      byRegion.computeIfAbsent(owner.place().region(), region -> new ArrayList<>()).add(owner);
    }
    byZone.forEach((zone, vms) -> candidatesByZone.put(zone, new OwnerCandidates(vms)));
    byRegion.forEach((region, vms) -> candidatesByRegion.put(region, new OwnerCandidates(vms)));
    allCandidates = new OwnerCandidates(owners);
  }

  List<Member> all() {
    return all;
  }

  Optional<Member> find(VmId vm) {
    return Optional.ofNullable(byId.get(vm));
  }

  Optional<VmEntry> ownerOf(PoolId pool) {
    return cachedOwner(poolOwners, pool, () -> choosePoolOwner(pool));
  }

  Optional<VmEntry> ownerOfShard(String shard, Set<RegionName> allowed) {
    ShardKey key = new ShardKey(shard, allowed);
    return cachedOwner(
        shardOwners, key, () -> allCandidates.choose(RendezvousHash.hash("shard", shard), allowed));
  }

  private Optional<VmEntry> choosePoolOwner(PoolId pool) {
    OwnerCandidates candidates = candidatesByZone.get(pool.place().zone());
    if (candidates == null) {
      candidates = candidatesByRegion.getOrDefault(pool.place().region(), allCandidates);
    }
    return candidates.choose(hashOf(pool), Set.of());
  }

  private static long hashOf(PoolId pool) {
    return RendezvousHash.hash(
        pool.gateway().value(),
        pool.service().value(),
        pool.place().zone().value(),
        Integer.toString(pool.shard()));
  }

  private static <K> Optional<VmEntry> cachedOwner(
      Map<K, Optional<VmEntry>> cache, K key, Supplier<Optional<VmEntry>> chooser) {
    Optional<VmEntry> owner = cache.get(key);
    if (owner != null) {
      return owner;
    }
    Optional<VmEntry> chosen = chooser.get();
    if (cache.size() < MAX_CACHED_OWNERS) {
      cache.put(key, chosen);
    }
    return chosen;
  }
}
