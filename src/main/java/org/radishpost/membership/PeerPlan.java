package org.radishpost.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.RegionName;
import org.radishpost.store.VmEntry;

/**
 * Selects the peers to which a VM keeps control links; deterministic for a given set of members.
 *
 * <p>Up to {@code maxFullMeshVms} VMs form a full mesh. With more VMs, each keeps links to its
 * successors on a ring of its region and to the VMs with the highest rendezvous weight in its own
 * and in each other region. The ring keeps a region connected when it is isolated from the others.
 * VMs that are not alive are selected as well, up to a limit, but do not count towards the number
 * of peers.
 *
 * @param maxFullMeshVms the maximum number of VMs that form a full mesh
 * @param ringPeers the number of successors on the ring of the VM's own region
 * @param regionPeers the number of further VMs of the VM's own region
 * @param otherRegionPeers the number of VMs of each other region
 */
public record PeerPlan(int maxFullMeshVms, int ringPeers, int regionPeers, int otherRegionPeers) {
  /** The default plan of a VM. */
  public static final PeerPlan DEFAULT = new PeerPlan(24, 1, 2, 1);

  private static final int MAX_DOWN_PEERS = 2;

  /** Returns the peers of a VM among the members, without the VM itself. */
  public Set<VmEntry> peers(VmEntry self, Collection<Member> members) {
    List<Member> others = candidates(self, members);
    if (others.size() < maxFullMeshVms) {
      return others.stream().map(Member::entry).collect(Collectors.toSet());
    }
    Map<RegionName, List<Member>> regions = new TreeMap<>();
    for (Member member : others) {
      RegionName region = member.entry().place().region();
      regions.computeIfAbsent(region, name -> new ArrayList<>()).add(member);
    }
    long selfHash = hash(self);
    Set<VmEntry> peers = new LinkedHashSet<>();
    regions.forEach(
        (region, vms) -> {
          boolean sameRegion = region.equals(self.place().region());
          if (sameRegion) {
            vms.sort(ringOrder(selfHash));
            selectPeers(vms, ringPeers, peers);
          }
          vms.sort(weightOrder(selfHash));
          selectPeers(vms, sameRegion ? regionPeers : otherRegionPeers, peers);
        });
    return peers;
  }

  /** Returns the other members, without those whose address now belongs to another VM. */
  private static List<Member> candidates(VmEntry self, Collection<Member> members) {
    Set<Endpoint> addressesInUse =
        members.stream()
            .filter(Member::alive)
            .map(member -> member.entry().link())
            .collect(Collectors.toSet());
    return members.stream()
        .filter(member -> !member.entry().id().equals(self.id()))
        .filter(member -> member.alive() || !addressesInUse.contains(member.entry().link()))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private static void selectPeers(List<Member> ranked, int count, Set<VmEntry> peers) {
    int alive = 0;
    int down = 0;
    for (Member member : ranked) {
      if (alive == count) {
        return;
      }
      if (!member.alive() && ++down > MAX_DOWN_PEERS) {
        continue;
      }
      if (peers.add(member.entry()) && member.alive()) {
        alive++;
      }
    }
  }

  private static Comparator<Member> ringOrder(long selfHash) {
    return (one, two) ->
        Long.compareUnsigned(hash(one.entry()) - selfHash, hash(two.entry()) - selfHash);
  }

  private static Comparator<Member> weightOrder(long selfHash) {
    return (one, two) ->
        Long.compareUnsigned(
            RendezvousHash.weight(hash(two.entry()), selfHash),
            RendezvousHash.weight(hash(one.entry()), selfHash));
  }

  private static long hash(VmEntry entry) {
    return RendezvousHash.hash(entry.id().value());
  }
}
