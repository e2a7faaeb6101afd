package org.radishpost.bench;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.TenantName;
import org.radishpost.manifest.ColdStartSpec;
import org.radishpost.manifest.DuplicateGuard;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.ProbeSpec;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;

/** Creates manifests of configurable size for measurements. */
final class ConfigModelManifests {
  private static final int FIRST_PORT = 10_000;
  private static final int ZONES = 6;

  private ConfigModelManifests() {}

  /**
   * Returns a valid manifest in which every service has one route.
   *
   * @param gateway the name of the gateway
   * @param baseVersion the version that the manifest replaces
   * @param serviceCount the number of services
   * @param targetsPerService the number of targets of each service
   */
  static Manifest createManifest(
      String gateway, long baseVersion, int serviceCount, int targetsPerService) {
    return new Manifest(
        new GatewayName(gateway),
        new TenantName("tenant"),
        baseVersion,
        IntStream.range(0, serviceCount).mapToObj(i -> service(i, targetsPerService)).toList(),
        IntStream.range(0, serviceCount).mapToObj(ConfigModelManifests::route).toList());
  }

  private static ServiceSpec service(int serviceIndex, int targetCount) {
    List<TargetSpec> targetSpecs =
        IntStream.range(0, targetCount)
            .mapToObj(i -> target(serviceIndex * targetCount + i))
            .toList();
    return new ServiceSpec(
        new ServiceName("service-" + serviceIndex),
        targetSpecs,
        new ColdStartSpec(2, 20, Duration.ofSeconds(30)),
        new ProbeSpec("/load", Duration.ofMillis(6), Duration.ofSeconds(1)),
        30);
  }

  private static TargetSpec target(int targetIndex) {
    int zoneIndex = targetIndex % ZONES;
    Place place = Place.of("region-" + zoneIndex / 2, "zone-" + zoneIndex);
    return new TargetSpec(new Endpoint("127.0.0.1", FIRST_PORT + targetIndex), place, 2, 240);
  }

  private static RouteSpec route(int serviceIndex) {
    return new RouteSpec(
        "route-" + serviceIndex,
        "",
        Set.of("GET"),
        "/service-" + serviceIndex,
        new ServiceName("service-" + serviceIndex),
        RequestKind.READ,
        1,
        true,
        Duration.ofMillis(800),
        0,
        Set.of(),
        DuplicateGuard.NONE);
  }
}
