package org.radishpost.config;

import java.util.Map;
import java.util.Set;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;

/**
 * The configuration at one version; immutable.
 *
 * @param version the offset of the last applied record of the configuration stream
 * @param manifests the current manifests, each with the version at which it was accepted
 * @param outOfService the zones, regions and VMs that are out of service
 */
public record Configuration(
    long version, Map<GatewayName, VersionedManifest> manifests, Set<Scope> outOfService) {
  /** The configuration before the first record. */
  public static final Configuration EMPTY = new Configuration(0, Map.of(), Set.of());

  /** Copies the collections. */
  public Configuration {
    manifests = Map.copyOf(manifests);
    outOfService = Set.copyOf(outOfService);
  }

  /** Returns whether the zone and the region of the place are in service. */
  public boolean inService(Place place) {
    return !outOfService.contains(new Scope(Scope.Kind.ZONE, place.zone().value()))
        && !outOfService.contains(new Scope(Scope.Kind.REGION, place.region().value()));
  }

  /** Returns whether the VM, its zone and its region are in service. */
  public boolean inService(VmId vm, Place place) {
    return !outOfService.contains(new Scope(Scope.Kind.VM, vm.value())) && inService(place);
  }
}
