package org.radishpost.manifest;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;

/** Checks the routes of a manifest in their order. */
final class RouteChecks {
  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
  private static final Pattern HOST = Pattern.compile("[a-z0-9]([a-z0-9.-]*[a-z0-9])?");

  private final FaultCollector faults;
  private final Map<ServiceName, Set<RegionName>> regionsByService = new HashMap<>();
  private final Set<String> names = new HashSet<>();
  private final Map<Match, String> routeNamesByMatch = new HashMap<>();

  RouteChecks(List<ServiceSpec> services, FaultCollector faults) {
    this.faults = faults;
    services.forEach(service -> regionsByService.putIfAbsent(service.name(), regionsOf(service)));
  }

  void check(RouteSpec route, String path) {
    NameChecks.check(route.name(), path + ".name", faults);
    faults.addIf(
        !names.add(route.name()),
        path + ".name",
        "is already used by another route: rename one of them");
    checkMatch(route, path);
    checkNumbers(route, path);
    checkDuplicateGuard(route, path);
    checkHomeRegions(route, path);
  }

  private void checkMatch(RouteSpec route, String path) {
    boolean validHost =
        route.host().length() <= ManifestBounds.MAX_HOST_CHARS
            && (route.host().isEmpty() || HOST.matcher(route.host()).matches());
    faults.addIf(
        !validHost,
        path + ".host",
        "specify a lower-case host name without a port, or leave it empty");
    PathChecks.check(route.pathPrefix(), path + ".pathPrefix", faults);
    faults.addIfOutOfRange(path + ".methods", route.methods().size(), ManifestBounds.METHODS);
    boolean validMethods = METHODS.containsAll(route.methods());
    faults.addIf(
        !validMethods, path + ".methods", "specify only " + METHODS.stream().sorted().toList());
    if (validHost && validMethods) {
      checkReachable(route, path);
    }
  }

  private void checkReachable(RouteSpec route, String path) {
    Set<Optional<String>> shadowing =
        route.methods().stream().map(m -> findShadowingRoute(route, m)).collect(Collectors.toSet());
    if (!shadowing.contains(Optional.<String>empty())) {
      String names =
          shadowing.stream().flatMap(Optional::stream).sorted().collect(Collectors.joining(", "));
      faults.add(path, "is unreachable: move it before " + names + ", or remove it");
    }
    for (String method : route.methods()) {
      routeNamesByMatch.putIfAbsent(
          new Match(route.host(), method, route.pathPrefix()), route.name());
    }
  }

  private Optional<String> findShadowingRoute(RouteSpec route, String method) {
    String prefix = route.pathPrefix();
    while (!prefix.isEmpty()) {
      for (String host : List.of(route.host(), "")) {
        String found = routeNamesByMatch.get(new Match(host, method, prefix));
        if (found != null) {
          return Optional.of(found);
        }
      }
      prefix = parentPrefix(prefix);
    }
    return Optional.empty();
  }

  private static String parentPrefix(String prefix) {
    int slash = prefix.lastIndexOf('/');
    if (slash > 0) {
      return prefix.substring(0, slash);
    }
    return prefix.equals("/") ? "" : "/";
  }

  private void checkNumbers(RouteSpec route, String path) {
    faults.addIfOutOfRange(path + ".weight", route.weight(), ManifestBounds.WEIGHT);
    faults.addIfOutOfRange(
        path + ".deadlineMillis", route.deadline().toMillis(), ManifestBounds.DEADLINE_MILLIS);
    faults.addIfOutOfRange(path + ".maxBodyBytes", route.maxBodyBytes(), ManifestBounds.BODY_BYTES);
  }

  private void checkDuplicateGuard(RouteSpec route, String path) {
    faults.addIf(
        !route.idempotent() && route.duplicateGuard() == DuplicateGuard.NONE,
        path + ".duplicateGuard",
        "specify KEY or CALLERS_NEVER_RESEND, because the route is not idempotent");
  }

  private void checkHomeRegions(RouteSpec route, String path) {
    Set<RegionName> serviceRegions = regionsByService.get(route.service());
    if (serviceRegions == null) {
      faults.add(
          path + ".service",
          "is not a service of this manifest: add the service or correct the name");
      return;
    }
    faults.addIfOutOfRange(
        path + ".homeRegions", route.homeRegions().size(), ManifestBounds.HOME_REGIONS);
    route.homeRegions().stream()
        .filter(region -> !serviceRegions.contains(region))
        .sorted()
        .forEach(
            region ->
                faults.add(
                    path + ".homeRegions",
                    "the service has no target in "
                        + region
                        + ": add a target or remove the region"));
  }

  private static Set<RegionName> regionsOf(ServiceSpec service) {
    return service.targets().stream()
        .map(target -> target.place().region())
        .collect(Collectors.toSet());
  }

  /** The requests that a route matches. */
  private record Match(String host, String method, String pathPrefix) {}
}
