package org.radishpost.manifest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.lib.ZoneName;

/**
 * Validates the contents of a manifest.
 *
 * <p>The result depends only on the manifest and is therefore the same on every VM. Thread-safe.
 */
public final class ManifestValidator {
  /** Returns the faults in the order of the manifest, up to a limit; empty if there are none. */
  public List<ManifestFault> faults(Manifest manifest) {
    FaultCollector faults = new FaultCollector();
    checkTopLevelMembers(manifest, faults);
    checkServices(manifest, faults);
    RouteChecks routes = new RouteChecks(manifest.services(), faults);
    for (int i = 0; i < manifest.routes().size() && !faults.isFull(); i++) {
      routes.check(manifest.routes().get(i), "routes[" + i + "]");
    }
    return faults.faults();
  }

  private static void checkTopLevelMembers(Manifest manifest, FaultCollector faults) {
    NameChecks.check(manifest.gateway().value(), "gateway", faults);
    NameChecks.check(manifest.tenant().value(), "tenant", faults);
    faults.addIfOutOfRange("baseVersion", manifest.baseVersion(), ManifestBounds.BASE_VERSION);
    faults.addIfOutOfRange("services", manifest.services().size(), ManifestBounds.SERVICES);
    faults.addIfOutOfRange("routes", manifest.routes().size(), ManifestBounds.ROUTES);
    long targets = manifest.services().stream().mapToLong(s -> s.targets().size()).sum();
    faults.addIf(
        targets > ManifestBounds.MAX_TARGETS,
        "services",
        "have "
            + targets
            + " targets in total: reduce them to at most "
            + ManifestBounds.MAX_TARGETS);
  }

  private static void checkServices(Manifest manifest, FaultCollector faults) {
    Set<ServiceName> names = new HashSet<>();
    TargetChecks targets = new TargetChecks(faults);
    for (int i = 0; i < manifest.services().size() && !faults.isFull(); i++) {
      ServiceSpec service = manifest.services().get(i);
      String path = "services[" + i + "]";
      NameChecks.check(service.name().value(), path + ".name", faults);
      faults.addIf(
          !names.add(service.name()),
          path + ".name",
          "is already used by another service: rename one of them");
      checkColdStartAndLimits(service, path, faults);
      targets.check(service, path);
    }
  }

  private static void checkColdStartAndLimits(
      ServiceSpec service, String path, FaultCollector faults) {
    ColdStartSpec cold = service.coldStart();
    String coldPath = path + ".coldStart.";
    faults.addIfOutOfRange(coldPath + "calls", cold.calls(), ManifestBounds.COLD_CALLS);
    faults.addIfOutOfRange(
        coldPath + "callsPerSecond", cold.callsPerSecond(), ManifestBounds.COLD_CALLS_PER_SECOND);
    faults.addIfOutOfRange(
        coldPath + "rampMillis", cold.ramp().toMillis(), ManifestBounds.RAMP_MILLIS);
    faults.addIfOutOfRange(
        path + ".ejectPercent", service.ejectPercent(), ManifestBounds.EJECT_PERCENT);
    checkProbe(service.probe(), path + ".probe.", faults);
  }

  private static void checkProbe(ProbeSpec probe, String path, FaultCollector faults) {
    long cost = probe.cost().toMillis();
    long interval = probe.interval().toMillis();
    PathChecks.check(probe.path(), path + "path", faults);
    faults.addIfOutOfRange(path + "costMillis", cost, ManifestBounds.PROBE_COST_MILLIS);
    faults.addIfOutOfRange(path + "intervalMillis", interval, ManifestBounds.PROBE_INTERVAL_MILLIS);
    faults.addIf(
        interval / ManifestBounds.MIN_PROBE_INTERVAL_TO_COST < cost,
        path + "intervalMillis",
        "specify at least " + ManifestBounds.MIN_PROBE_INTERVAL_TO_COST + " times costMillis");
  }

  /** Checks the targets of all services of a manifest. */
  private static final class TargetChecks {
    private final FaultCollector faults;
    private final Set<Endpoint> addresses = new HashSet<>();
    private final Map<ZoneName, RegionName> regions = new HashMap<>();

    TargetChecks(FaultCollector faults) {
      this.faults = faults;
    }

    void check(ServiceSpec service, String path) {
      faults.addIfOutOfRange(path + ".targets", service.targets().size(), ManifestBounds.TARGETS);
      for (int i = 0; i < service.targets().size() && !faults.isFull(); i++) {
        check(service.targets().get(i), path + ".targets[" + i + "]");
      }
    }

    private void check(TargetSpec target, String path) {
      checkAddress(target.address(), path + ".address");
      NameChecks.check(target.place().region().value(), path + ".region", faults);
      NameChecks.check(target.place().zone().value(), path + ".zone", faults);
      RegionName region =
          regions.computeIfAbsent(target.place().zone(), z -> target.place().region());
      faults.addIf(
          !region.equals(target.place().region()),
          path + ".zone",
          "is in region " + region + " for an earlier target: assign each zone to one region");
      faults.addIfOutOfRange(path + ".slots", target.slots(), ManifestBounds.SLOTS);
      faults.addIfOutOfRange(
          path + ".connections", target.connections(), ManifestBounds.CONNECTIONS);
      faults.addIf(
          target.connections() < target.slots(),
          path + ".connections",
          "specify at least the number of slots");
    }

    private void checkAddress(Endpoint address, String path) {
      faults.addIfOutOfRange(path, address.port(), ManifestBounds.PORT);
      faults.addIf(
          NameChecks.hasLeadingZero(address.ip()), path, "write the address without leading zeros");
      faults.addIf(
          !addresses.add(address),
          path,
          "is already used by another target: give each target its own address");
    }
  }
}
