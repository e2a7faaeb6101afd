package org.radishpost.config;

import java.util.Map;
import java.util.Set;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;

/**
 * The configuration in force at one version; immutable.
 *
 * @param version the offset on the configuration stream through which everything is applied
 * @param manifests the manifests with the versions at which they were accepted
 * @param outOfService the scopes that are out of service
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

  /** Tells whether the place is in service. */
  public boolean inService(Place place) {
    return !outOfService.contains(new Scope(Scope.Kind.ZONE, place.zone().value()))
        && !outOfService.contains(new Scope(Scope.Kind.REGION, place.region().value()));
  }

  /** Tells whether the VM and its place are in service. */
  public boolean inService(VmId vm, Place place) {
    return !outOfService.contains(new Scope(Scope.Kind.VM, vm.value())) && inService(place);
  }
}
