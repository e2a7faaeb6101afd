package org.radishpost.admin;

import java.util.List;
import org.radishpost.config.ConfigFreshness;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;

/**
 * The state of a VM, including its view of the other VMs.
 *
 * @param vm the VM
 * @param place the region and zone of the VM
 * @param notReadyReason the reason why the VM accepts no calls; empty if it accepts calls
 * @param configFreshness whether the VM's configuration is up to date
 * @param members all VMs that the VM knows
 * @param pools the pools that the VM owns
 * @param suspectCount the number of requests that are suspected of crashing targets
 * @param claimKeyCount the number of keys of guarded calls that the VM keeps in memory
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
  /** Makes defensive copies of the lists. */
  public NodeStatus {
    members = List.copyOf(members);
    pools = List.copyOf(pools);
  }

  /** Returns whether the VM accepts calls. */
  public boolean ready() {
    return notReadyReason.isEmpty();
  }
}
