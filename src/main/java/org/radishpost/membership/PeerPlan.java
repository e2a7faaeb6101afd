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
 * @param fullMeshMost the VMs up to which all keep links to each other
 * @param ringPeers the next VMs on the ring of the own region
 * @param regionPeers further VMs of the own region
 * @param otherRegionPeers VMs of each other region
 */
public record PeerPlan(int fullMeshMost, int ringPeers, int regionPeers, int otherRegionPeers) {
  /** What VMs use. */
  public static final PeerPlan DEFAULT = new PeerPlan(24, 1, 2, 1);

  private static final int MOST_DEAD_TRIED = 2;

  /** Returns the peers of a VM among the members; the VM itself is never one. */
  public Set<VmEntry> peers(VmEntry self, Collection<Member> members) {
    List<Member> others = reachable(self, members);
    if (others.size() < fullMeshMost) {
      return others.stream().map(Member::entry).collect(Collectors.toSet());
    }
    Map<RegionName, List<Member>> regions = new TreeMap<>();
    for (Member member : others) {
      RegionName region = member.entry().place().region();
      regions.computeIfAbsent(region, name -> new ArrayList<>()).add(member);
    }
    long hash = hash(self);
    Set<VmEntry> peers = new LinkedHashSet<>();
    regions.forEach(
        (region, vms) -> {
          boolean own = region.equals(self.place().region());
          if (own) {
            vms.sort(ringOrder(hash));
            take(vms, ringPeers, peers);
          }
          vms.sort(weightOrder(hash));
          take(vms, own ? regionPeers : otherRegionPeers, peers);
        });
    return peers;
  }

  /** Leaves out those whose address another one holds now. */
  private static List<Member> reachable(VmEntry self, Collection<Member> members) {
    Set<Endpoint> held =
        members.stream()
            .filter(Member::alive)
            .map(member -> member.entry().link())
            .collect(Collectors.toSet());
    return members.stream()
        .filter(member -> !member.entry().id().equals(self.id()))
        .filter(member -> member.alive() || !held.contains(member.entry().link()))
        .collect(Collectors.toCollection(ArrayList::new));
  }

  private static void take(List<Member> ranked, int wanted, Set<VmEntry> peers) {
    int alive = 0;
    int dead = 0;
    for (Member member : ranked) {
      if (alive == wanted) {
        return;
      }
      if (!member.alive() && ++dead > MOST_DEAD_TRIED) {
        continue;
      }
      if (peers.add(member.entry()) && member.alive()) {
        alive++;
      }
    }
  }

  private static Comparator<Member> ringOrder(long own) {
    return (one, two) -> Long.compareUnsigned(hash(one.entry()) - own, hash(two.entry()) - own);
  }

  private static Comparator<Member> weightOrder(long own) {
    return (one, two) ->
        Long.compareUnsigned(
            Rendezvous.weight(hash(two.entry()), own), Rendezvous.weight(hash(one.entry()), own));
  }

  private static long hash(VmEntry entry) {
    return Rendezvous.hash(entry.id().value());
  }
}
