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
 * Chooses the peers that a VM keeps control links to; the same members give the same choice.
 *
 * <p>Few VMs keep links to each other all. Of many, each keeps links to the next VMs of a ring
 * through its region and to others of greatest weight in its own and in each other region, so that
 * a region that is cut off stays connected in itself. A VM that is not alive is still tried, and
 * one more is chosen beside it.
 *
 * @param maxFullMeshVms the VMs up to which all keep links to each other
 * @param ringPeers the next VMs on the ring of the own region
 * @param regionPeers further VMs of the own region
 * @param otherRegionPeers VMs of each other region
 */
public record PeerPlan(int maxFullMeshVms, int ringPeers, int regionPeers, int otherRegionPeers) {
  /** What VMs use. */
  public static final PeerPlan DEFAULT = new PeerPlan(24, 1, 2, 1);

  private static final int MAX_DOWN_PEERS = 2;

  /** Returns the peers of a VM among the members; the VM itself is never one. */
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

  /** Leaves out those whose address another one holds now. */
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
