package org.radishpost.membership;

import java.util.List;
import java.util.Optional;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;

/**
 * The view of one VM on all VMs; a wrong view costs speed only.
 *
 * <p>Thread-safe for readers; changes come from one thread.
 */
public interface Members {
  /** Returns this VM. */
  VmEntry self();

  /** Returns every known VM, this one among them. */
  List<Member> all();

  /** Returns the VM, if it is known. */
  Optional<Member> find(VmId vm);

  /** Returns the owner of a pool: a VM of its zone, else of its region, else any. */
  Optional<VmEntry> ownerOf(PoolId pool);

  /**
   * Returns the owner of a shard of keys.
   *
   * @param shard the name of the shard
   * @param regions the regions that the owner may be in; empty for all
   */
  Optional<VmEntry> ownerOfShard(String shard, java.util.Set<RegionName> regions);
}
