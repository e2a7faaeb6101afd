package org.radishpost.admin;

import java.util.List;
import org.radishpost.config.ConfigFreshness;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;

/**
 * The state of one VM, as that VM sees itself and others.
 *
 * @param vm the VM
 * @param place where it runs
 * @param notReadyReason why it takes no callers' requests; empty when it does
 * @param configFreshness how well it knows the configuration
 * @param members all VMs that it knows
 * @param pools the pools that it owns
 * @param suspectCount the requests that are suspected of crashing targets
 * @param claimKeyCount the keys of guarded calls that it keeps in memory
 */
public record NodeStatus(
    VmId vm,
    Place place,
    String notReadyReason,
    ConfigFreshness configFreshness,
    List<MemberStatus> members,
    List<PoolStatus> pools,
    int suspectCount,
    int claimKeyCount) {
  /** Copies the lists. */
  public NodeStatus {
    members = List.copyOf(members);
    pools = List.copyOf(pools);
  }

  /** Tells whether the VM takes callers' requests. */
  public boolean ready() {
    return notReadyReason.isEmpty();
  }
}
