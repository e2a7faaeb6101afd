package org.radishpost.membership;

import java.util.List;
import java.util.Optional;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;

/**
 * All VMs, as seen by one VM. An outdated or incomplete view affects performance only.
 *
 * <p>Lookups are thread-safe; updates are made by one thread.
 */
public interface Members {
  /** Returns this VM. */
  VmEntry self();

  /** Returns every known VM, including this one. */
  List<Member> all();

  /** Returns the VM, if it is known. */
  Optional<Member> find(VmId vm);

  /**
   * Returns the owner of a pool: a VM of its zone; if there is none, of its region; if there is
   * none, any VM.
   */
  Optional<VmEntry> ownerOf(PoolId pool);

  /**
   * Returns the owner of a shard of keys.
   *
   * @param shard the name of the shard
   * @param regions the regions in which the owner may be; empty for all
   */
  Optional<VmEntry> ownerOfShard(String shard, java.util.Set<RegionName> regions);
}
