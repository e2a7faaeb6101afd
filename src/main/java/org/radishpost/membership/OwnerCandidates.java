package org.radishpost.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.radishpost.lib.RegionName;
import org.radishpost.store.VmEntry;

/** VMs that may own pools or shards, with their hashes; immutable. */
final class OwnerCandidates {
  private final VmEntry[] entries;
  private final long[] hashes;

  OwnerCandidates(List<VmEntry> vms) {
    entries = vms.stream().sorted(Comparator.comparing(VmEntry::id)).toArray(VmEntry[]::new);
    hashes = new long[entries.length];
    for (int i = 0; i < entries.length; i++) {
      hashes[i] = RendezvousHash.hash(entries[i].id().value());
    }
  }

  /**
   * Returns the VM with the highest weight for the key, or the one with the smallest ID if several
   * have the same weight.
   *
   * @param keyHash the hash of the key
   * @param regions the regions to choose from; empty for all
   */
  Optional<VmEntry> choose(long keyHash, Set<RegionName> regions) {
    VmEntry best = null;
    long bestWeight = 0;
    for (int i = 0; i < entries.length; i++) {
      if (!regions.isEmpty() && !regions.contains(entries[i].place().region())) {
        continue;
      }
      long weight = RendezvousHash.weight(hashes[i], keyHash);
      if (best == null || Long.compareUnsigned(weight, bestWeight) > 0) {
        best = entries[i];
        bestWeight = weight;
      }
    }
    return Optional.ofNullable(best);
  }
}
