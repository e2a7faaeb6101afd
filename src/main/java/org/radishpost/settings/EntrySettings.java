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
 * The settings of a VM that sends calls straight to targets and keeps nothing itself.
 *
 * @param vm the identity
 * @param place where the process runs
 * @param edge where callers' requests come in
 * @param readiness where the platform's balancer asks for readiness
 * @param relay where this VM passes on what it reads from the store; absent where it doesn't
 * @param relays the relays that this VM may follow, as far as the platform knows; some may be gone
 * @param store where the platform's store listens; absent where there is none
 * @param zones the availability zones and their regions
 * @param bounds what the operators want to hold, in the platform's units, by name
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
  /** Copies the collections. */
  public EntrySettings {
    relays = List.copyOf(relays);
    zones = Map.copyOf(zones);
  }
}
