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
 * Makes the plan that loads every service of a manifest to the same share of its capacity.
 *
 * <p>The capacity of a service is that of its targets in the home regions of its routes. A route
 * with fewer regions than its service gets a tenth of the service's calls, so that its regions can
 * serve them, and its calls come in at entries of these regions. Immutable.
 */
public final class DeploymentLoad {
  private static final double NARROW_SHARE = 0.1;
  private static final int UPLOAD_BYTES = 16 * 1024;
  private static final int COMMIT_BYTES = 512;
  private static final long WARM_UP_MILLIS = 5_000;
  private static final long TIMEOUT_MILLIS = 5_000;
  private static final int MAX_IN_FLIGHT = 20_000;
  private static final double NOISE_FACTOR = 4;
  private static final double NOISE_SHARE = 0.08;
  private static final long NOISE_MILLIS = 500;
  private static final double PERCENT = 100;

  private final Manifest manifest;
  private final List<Entry> entries;
  private final Duration meanService;

  /**
   * Creates the load of a deployment.
   *
   * @param manifest the gateway
   * @param entries the VMs that take calls
   * @param meanService the mean service time of all targets
   */
  public DeploymentLoad(Manifest manifest, List<Entry> entries, Duration meanService) {
    this.manifest = manifest;
    this.entries = List.copyOf(entries);
    this.meanService = meanService;
  }

  /** Returns the calls a second that the targets can serve when they are warm and not slow. */
  public double capacity() {
    return manifest.services().stream().mapToDouble(this::capacityOf).sum();
  }

  /**
   * Returns a plan.
   *
   * @param percent the load in percent of the capacity
   * @param seconds the measured time
   * @param seed the seed of all random numbers
   * @param events what happens meanwhile
   * @param noisy whether targets have noisy neighbours
   */
  public LoadPlan plan(int percent, int seconds, long seed, List<EventPlan> events, boolean noisy) {
    List<KindPlan> kinds = new ArrayList<>();
    manifest.services().forEach(service -> addKinds(service, kinds));
    return new LoadPlan(
        seed,
        capacity() * percent / PERCENT,
        WARM_UP_MILLIS,
        Duration.ofSeconds(seconds).toMillis(),
        TIMEOUT_MILLIS,
        MAX_IN_FLIGHT,
        LoadPlan.Spread.IN_TURN,
        entries.stream().map(entry -> entry.address().toString()).toList(),
        kinds,
        events,
        noisy ? noise() : NoisePlan.NONE);
  }

  private NoisePlan noise() {
    List<String> targets =
        manifest.services().stream()
            .flatMap(service -> service.targets().stream())
            .map(target -> target.address().toString())
            .toList();
    return new NoisePlan(targets, NOISE_FACTOR, NOISE_SHARE, NOISE_MILLIS);
  }

  private void addKinds(ServiceSpec service, List<KindPlan> kinds) {
    List<RouteSpec> routes = routesOf(service.name());
    List<RouteSpec> wide = routes.stream().filter(route -> widest(route, routes)).toList();
    double narrow = NARROW_SHARE * (routes.size() - wide.size());
    for (RouteSpec route : routes) {
      double share = wide.contains(route) ? (1 - narrow) / wide.size() : NARROW_SHARE;
      kinds.add(kind(route, share * capacityOf(service)));
    }
  }

  private KindPlan kind(RouteSpec route, double share) {
    List<String> allowed =
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
        allowed);
  }

  private double capacityOf(ServiceSpec service) {
    List<RouteSpec> routes = routesOf(service.name());
    int slots =
        service.targets().stream()
            .filter(target -> routes.stream().anyMatch(route -> allows(route, target)))
            .mapToInt(TargetSpec::slots)
            .sum();
    return slots * (double) Duration.ofSeconds(1).toNanos() / meanService.toNanos();
  }

  private List<RouteSpec> routesOf(ServiceName service) {
    return manifest.routes().stream().filter(route -> route.service().equals(service)).toList();
  }

  private static boolean widest(RouteSpec route, List<RouteSpec> routes) {
    return route.homeRegions().isEmpty()
        || routes.stream()
            .allMatch(
                other ->
                    !other.homeRegions().isEmpty()
                        && other.homeRegions().size() <= route.homeRegions().size());
  }

  private static boolean allows(RouteSpec route, TargetSpec target) {
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
   * A VM that takes calls.
   *
   * @param address where
   * @param place where it runs
   */
  public record Entry(Endpoint address, Place place) {}
}
