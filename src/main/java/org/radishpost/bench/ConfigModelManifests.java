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

/** Manifests of any size for measurements. */
final class ConfigModelManifests {
  private static final int FIRST_PORT = 10_000;
  private static final int ZONES = 6;

  private ConfigModelManifests() {}

  /** Returns a valid manifest with so many services, each with so many targets and one route. */
  static Manifest manifest(String gateway, long base, int services, int targets) {
    return new Manifest(
        new GatewayName(gateway),
        new TenantName("tenant"),
        base,
        IntStream.range(0, services).mapToObj(i -> service(i, targets)).toList(),
        IntStream.range(0, services).mapToObj(ConfigModelManifests::route).toList());
  }

  private static ServiceSpec service(int number, int targets) {
    List<TargetSpec> all =
        IntStream.range(0, targets).mapToObj(i -> target(number * targets + i)).toList();
    return new ServiceSpec(
        new ServiceName("service-" + number),
        all,
        new ColdStartSpec(2, 20, Duration.ofSeconds(30)),
        new ProbeSpec("/load", Duration.ofMillis(6), Duration.ofSeconds(1)),
        30);
  }

  private static TargetSpec target(int number) {
    int zone = number % ZONES;
    Place place = Place.of("region-" + zone / 2, "zone-" + zone);
    return new TargetSpec(new Endpoint("127.0.0.1", FIRST_PORT + number), place, 2, 240);
  }

  private static RouteSpec route(int number) {
    return new RouteSpec(
        "route-" + number,
        "",
        Set.of("GET"),
        "/service-" + number,
        new ServiceName("service-" + number),
        RequestKind.READ,
        1,
        true,
        Duration.ofMillis(800),
        0,
        Set.of(),
        DuplicateGuard.NONE);
  }
}
