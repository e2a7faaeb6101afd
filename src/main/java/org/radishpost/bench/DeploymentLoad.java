package org.radishpost.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.radishpost.bench.LoadPlan.EventPlan;
import org.radishpost.bench.LoadPlan.KindPlan;
import org.radishpost.bench.LoadPlan.NoisePlan;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;
import org.radishpost.manifest.DuplicateGuard;
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;

/**
 * Creates load plans that load every service of a manifest to the same percentage of its capacity.
 *
 * <p>The capacity of a service is the capacity of all its targets that are in a home region of at
 * least one of its routes. A route that allows fewer regions than another route of the service gets
 * a tenth of the service's calls, because only the targets in those regions can serve them. Calls
 * are sent only to entry VMs in the home regions of their route. Immutable.
 */
public final class DeploymentLoad {
  private static final double RESTRICTED_ROUTE_SHARE = 0.1;
  private static final int UPLOAD_BYTES = 16 * 1024;
  private static final int COMMIT_BYTES = 512;
  private static final long WARM_UP_MILLIS = 5_000;
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final int MAX_IN_FLIGHT = 20_000;
  private static final double NOISE_SLOWDOWN_FACTOR = 4;
  private static final double NOISE_TIME_SHARE = 0.08;
  private static final long MEAN_NOISE_MILLIS = 500;
  private static final double PERCENT = 100;

  private final Manifest manifest;
  private final List<Entry> entries;
  private final Duration meanServiceTime;

  /**
   * Creates a source of load plans for a deployment.
   *
   * @param manifest the manifest of the gateway
   * @param entries the entry VMs
   * @param meanServiceTime the mean service time of all targets
   */
  public DeploymentLoad(Manifest manifest, List<Entry> entries, Duration meanServiceTime) {
    this.manifest = manifest;
    this.entries = List.copyOf(entries);
    this.meanServiceTime = meanServiceTime;
  }

  /** Returns the calls per second that all targets can serve while warm and not slowed down. */
  public double capacityCallsPerSecond() {
    return manifest.services().stream().mapToDouble(this::capacityOf).sum();
  }

  /**
   * Returns a plan for one measurement.
   *
   * @param loadPercent the offered load as a percentage of the capacity
   * @param measuredSeconds the duration of the measurement, without the warm-up
   * @param seed the seed of all random numbers
   * @param events the scripted events during the measurement
   * @param noisyNeighbors whether targets are slowed down at random by noisy neighbors
   */
  public LoadPlan createPlan(
      int loadPercent,
      int measuredSeconds,
      long seed,
      List<EventPlan> events,
      boolean noisyNeighbors) {
    List<KindPlan> kinds = new ArrayList<>();
    manifest.services().forEach(service -> addKindPlans(service, kinds));
    return new LoadPlan(
        seed,
        capacityCallsPerSecond() * loadPercent / PERCENT,
        WARM_UP_MILLIS,
        Duration.ofSeconds(measuredSeconds).toMillis(),
        TIMEOUT_MILLIS,
        MAX_IN_FLIGHT,
        LoadPlan.Spread.IN_TURN,
        entries.stream().map(entry -> entry.address().toString()).toList(),
        kinds,
        events,
        noisyNeighbors ? noisePlan() : NoisePlan.NONE);
  }

  private NoisePlan noisePlan() {
    List<String> targets =
        manifest.services().stream()
            .flatMap(service -> service.targets().stream())
            .map(target -> target.address().toString())
            .toList();
    return new NoisePlan(targets, NOISE_SLOWDOWN_FACTOR, NOISE_TIME_SHARE, MEAN_NOISE_MILLIS);
  }

  private void addKindPlans(ServiceSpec service, List<KindPlan> kinds) {
    List<RouteSpec> routes = routesOf(service.name());
    List<RouteSpec> widestRoutes =
        routes.stream().filter(route -> hasMostRegions(route, routes)).toList();
    double restrictedShare = RESTRICTED_ROUTE_SHARE * (routes.size() - widestRoutes.size());
    for (RouteSpec route : routes) {
      double share =
          widestRoutes.contains(route)
              ? (1 - restrictedShare) / widestRoutes.size()
              : RESTRICTED_ROUTE_SHARE;
      kinds.add(createKindPlan(route, share * capacityOf(service)));
    }
  }

  private KindPlan createKindPlan(RouteSpec route, double share) {
    List<String> allowedEntries =
        entries.stream()
            .filter(entry -> route.allowsRegion(entry.place().region()))
            .map(entry -> entry.address().toString())
            .toList();
    return new KindPlan(
        route.name(),
        route.methods().contains("GET") ? "GET" : route.methods().iterator().next(),
        route.pathPrefix(),
        share,
        route.weight(),
        bodyBytes(route.kind()),
        route.duplicateGuard() == DuplicateGuard.KEY,
        allowedEntries);
  }

  private double capacityOf(ServiceSpec service) {
    List<RouteSpec> routes = routesOf(service.name());
    int slots =
        service.targets().stream()
            .filter(target -> routes.stream().anyMatch(route -> allowsTarget(route, target)))
            .mapToInt(TargetSpec::slots)
            .sum();
    return slots * (double) Duration.ofSeconds(1).toNanos() / meanServiceTime.toNanos();
  }

  private List<RouteSpec> routesOf(ServiceName service) {
    return manifest.routes().stream().filter(route -> route.service().equals(service)).toList();
  }

  private static boolean hasMostRegions(RouteSpec route, List<RouteSpec> routes) {
    return route.homeRegions().isEmpty()
        || routes.stream()
            .allMatch(
                other ->
                    !other.homeRegions().isEmpty()
                        && other.homeRegions().size() <= route.homeRegions().size());
  }

  private static boolean allowsTarget(RouteSpec route, TargetSpec target) {
    return route.allowsRegion(target.place().region());
  }

  private static int bodyBytes(RequestKind kind) {
    return switch (kind) {
      case READ -> 0;
      case COMMIT -> COMMIT_BYTES;
      case UPLOAD -> UPLOAD_BYTES;
    };
  }

  /**
   * An entry VM, which accepts calls from callers.
   *
   * @param address the address that accepts calls
   * @param place the region and zone of the VM
   */
  public record Entry(Endpoint address, Place place) {}
}
