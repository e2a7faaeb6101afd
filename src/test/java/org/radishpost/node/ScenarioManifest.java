package org.radishpost.node;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.radishpost.lib.GatewayName;
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

/** The manifest of all scenarios: lookups, signings, and lookups with one home region. */
final class ScenarioManifest {
  static final Duration PROBE_INTERVAL = Duration.ofSeconds(1);
  private static final ServiceName CONTRACTS = new ServiceName("contracts");

  private ScenarioManifest() {}

  static DuplicateGuard guardOf(String path) {
    return path.startsWith("/sign") ? DuplicateGuard.KEY : DuplicateGuard.NONE;
  }

  static Manifest of(List<TargetSpec> targets, long baseVersion) {
    ServiceSpec service =
        new ServiceSpec(
            CONTRACTS,
            targets,
            new ColdStartSpec(ScenarioTarget.MAX_COLD_CALLS, 40, Duration.ofSeconds(2)),
            new ProbeSpec("/load", Duration.ofMillis(6), PROBE_INTERVAL),
            34);
    return new Manifest(
        new GatewayName("growers"),
        new TenantName("brennan"),
        baseVersion,
        List.of(service),
        List.of(
            route("/lookup", Set.of()),
            route("/sign", Set.of()),
            route("/home", Set.of(new RegionName("lockyer")))));
  }

  private static RouteSpec route(String path, Set<RegionName> homeRegions) {
    DuplicateGuard guard = guardOf(path);
    boolean read = guard == DuplicateGuard.NONE;
    return new RouteSpec(
        path.substring(1),
        "",
        Set.of(read ? "GET" : "POST"),
        path,
        CONTRACTS,
        read ? RequestKind.READ : RequestKind.COMMIT,
        read ? 1 : 10,
        read,
        ScenarioSimulation.DEADLINE,
        1_000,
        homeRegions,
        guard);
  }
}
