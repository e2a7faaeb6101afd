package org.radishpost.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.VmId;
import org.radishpost.lib.ZoneName;

/**
 * The settings of a VM that sends calls directly to targets and keeps no state.
 *
 * @param vm the ID of the VM
 * @param place the region and zone of the process
 * @param edge the address for callers' requests
 * @param readiness the address on which the platform's load balancer checks readiness
 * @param relay the address on which this VM relays what it reads from the store; empty if it is not
 *     a relay
 * @param relays the relays that this VM may follow, as listed by the platform; some may no longer
 *     exist
 * @param store the address of the platform's store; empty if there is none
 * @param zones the region of each availability zone
 * @param bounds the limits and intervals set by operators
 */
public record EntrySettings(
    VmId vm,
    Place place,
    Endpoint edge,
    Endpoint readiness,
    Optional<Endpoint> relay,
    List<Endpoint> relays,
    Optional<Endpoint> store,
    Map<ZoneName, RegionName> zones,
    EntryBounds bounds) {
  /** Creates the record with immutable copies of the collections. */
  public EntrySettings {
    relays = List.copyOf(relays);
    zones = Map.copyOf(zones);
  }
}
