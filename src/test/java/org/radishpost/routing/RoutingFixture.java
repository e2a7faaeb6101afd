package org.radishpost.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.radishpost.config.Configuration;
import org.radishpost.config.Scope;
import org.radishpost.config.VersionedManifest;
import org.radishpost.lib.CallId;
import org.radishpost.lib.CallInfo;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.GatewayName;
import org.radishpost.lib.Place;
import org.radishpost.lib.RegionName;
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

/** Creates small configurations and calls for the tests of this package. */
final class RoutingFixture {
  static final List<Place> PLACES =
      List.of(
          Place.of("kozep", "kozep-1"),
          Place.of("kozep", "kozep-2"),
          Place.of("kelet", "kelet-1"),
          Place.of("kelet", "kelet-2"),
          Place.of("nyugat", "nyugat-1"),
          Place.of("nyugat", "nyugat-2"));
  static final ServiceName ARCHIVE = new ServiceName("archive");
  static final long MILLI_NANOS = 1_000_000;
  private static final TenantName TENANT = new TenantName("szaklap");

  private RoutingFixture() {}

  static ServiceSpec service(int targetsPerPlace) {
    List<TargetSpec> targets = new ArrayList<>();
    for (int place = 0; place < PLACES.size(); place++) {
      for (int i = 0; i < targetsPerPlace; i++) {
        Endpoint address = new Endpoint("10." + place + "." + i / 250 + "." + (1 + i % 250), 80);
        targets.add(new TargetSpec(address, PLACES.get(place), 2, 240));
      }
    }
    return new ServiceSpec(
        ARCHIVE,
        targets,
        new ColdStartSpec(2, 20, Duration.ofSeconds(30)),
        new ProbeSpec("/load", Duration.ofMillis(6), Duration.ofSeconds(1)),
        30);
  }

  static RouteSpec route(String name, String host, String prefix, String method, String... home) {
    return new RouteSpec(
        name,
        host,
        Set.of(method),
        prefix,
        ARCHIVE,
        RequestKind.READ,
        1,
        true,
        Duration.ofSeconds(1),
        1_000,
        regions(home),
        DuplicateGuard.NONE);
  }

  static VersionedManifest gateway(String name, ServiceSpec service, RouteSpec... routes) {
    return new VersionedManifest(
        1, new Manifest(new GatewayName(name), TENANT, 0, List.of(service), List.of(routes)));
  }

  static Configuration configuration(Set<Scope> out, VersionedManifest... gateways) {
    Map<GatewayName, VersionedManifest> manifests = new HashMap<>();
    for (VersionedManifest each : gateways) {
      manifests.put(each.manifest().gateway(), each);
    }
    return new Configuration(1, manifests, out);
  }

  static CallInfo call(RequestKind kind, long bodyBytes, long deadlineNanos, String... home) {
    return new CallInfo(
        new CallId(1),
        new GatewayName("g"),
        "read",
        ARCHIVE,
        TENANT,
        kind,
        1,
        kind == RequestKind.READ,
        deadlineNanos,
        bodyBytes,
        regions(home),
        Optional.empty(),
        0);
  }

  private static Set<RegionName> regions(String... names) {
    return Set.copyOf(List.of(names).stream().map(RegionName::new).toList());
  }
}
