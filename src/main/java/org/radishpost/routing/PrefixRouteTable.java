package org.radishpost.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.radishpost.config.Configuration;
import org.radishpost.config.VersionedManifest;
import org.radishpost.lib.ServiceName;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.ServiceSpec;

/**
 * A route table in which the route with the longest matching path prefix wins. Prefixes are
 * compared by character, not by path segment. Thread-safe.
 */
final class PrefixRouteTable implements RouteTable {
  private static final Comparator<RouteMatch> LONGEST_FIRST =
      Comparator.comparing(match -> -match.route().pathPrefix().length());

  private final Configuration configuration;
  private final Map<String, List<RouteMatch>> matchesByHost = new HashMap<>();
  private final Map<RouteKey, RouteMatch> matchByName = new HashMap<>();

  PrefixRouteTable(Configuration configuration) {
    this.configuration = configuration;
    configuration.manifests().values().forEach(this::add);
    matchesByHost.values().forEach(matches -> matches.sort(LONGEST_FIRST));
  }

  @Override
  public Configuration configuration() {
    return configuration;
  }

  @Override
  public Optional<RouteMatch> find(String host, String method, String path) {
    for (RouteMatch match : matchesByHost.getOrDefault(host, List.of())) {
      boolean matches =
          path.startsWith(match.route().pathPrefix()) && match.route().methods().contains(method);
      if (matches) {
        return Optional.of(match);
      }
    }
    return Optional.empty();
  }

  @Override
  public Optional<RouteMatch> byName(String gateway, String route) {
    return Optional.ofNullable(matchByName.get(new RouteKey(gateway, route)));
  }

  private void add(VersionedManifest versioned) {
    Map<ServiceName, ServiceSpec> services =
        versioned.manifest().services().stream()
            .collect(Collectors.toMap(ServiceSpec::name, Function.identity()));
    for (RouteSpec route : versioned.manifest().routes()) {
      RouteMatch match = new RouteMatch(versioned, route, services.get(route.service()));
      matchByName.put(RouteKey.of(match), match);
      matchesByHost.computeIfAbsent(route.host(), unused -> new ArrayList<>()).add(match);
    }
  }
}
