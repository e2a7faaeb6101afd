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
import org.radishpost.manifest.Manifest;
import org.radishpost.manifest.RouteSpec;
import org.radishpost.manifest.ServiceSpec;

/**
 * A route table that looks up the host in a map and the path in a tree of segments.
 *
 * <p>Within a gateway, the first matching route in manifest order wins. Between gateways, a route
 * with an explicit host wins over one for any host, then the longer path prefix wins, then the
 * smaller gateway name. This makes every VM find the same route. Thread-safe.
 */
final class IndexedRouteTable implements RouteTable {
  private static final String ANY_HOST = "";
  private static final Comparator<RouteEntry> BETWEEN_GATEWAYS =
      Comparator.comparing((RouteEntry entry) -> entry.route().host().isEmpty())
          .thenComparing(entry -> -entry.route().pathPrefix().length())
          .thenComparing(entry -> entry.gateway().value());

  private final Configuration configuration;
  private final Map<String, PathNode> rootByHost = new HashMap<>();
  private final Map<RouteKey, RouteMatch> matchByName = new HashMap<>();

  IndexedRouteTable(Configuration configuration) {
    this.configuration = configuration;
    configuration.manifests().values().forEach(this::add);
  }

  @Override
  public Configuration configuration() {
    return configuration;
  }

  @Override
  public Optional<RouteMatch> find(String host, String method, String path) {
    List<RouteEntry> found = new ArrayList<>();
    collect(host, method, path, found);
    if (!host.equals(ANY_HOST)) {
      collect(ANY_HOST, method, path, found);
    }
    return found.stream().min(BETWEEN_GATEWAYS).map(RouteEntry::match);
  }

  @Override
  public Optional<RouteMatch> byName(String gateway, String route) {
    return Optional.ofNullable(matchByName.get(new RouteKey(gateway, route)));
  }

  private void add(VersionedManifest versioned) {
    Manifest manifest = versioned.manifest();
    Map<ServiceName, ServiceSpec> services =
        manifest.services().stream()
            .collect(Collectors.toMap(ServiceSpec::name, Function.identity()));
    int position = 0;
    for (RouteSpec route : manifest.routes()) {
      RouteMatch match = new RouteMatch(versioned, route, services.get(route.service()));
      matchByName.put(RouteKey.of(match), match);
      rootByHost
          .computeIfAbsent(route.host(), unused -> new PathNode())
          .getOrCreate(route.pathPrefix())
          .add(new RouteEntry(match, position++));
    }
  }

  private void collect(String host, String method, String path, List<RouteEntry> found) {
    PathNode root = rootByHost.get(host);
    if (root != null) {
      root.visit(path, entry -> addIfFirst(entry, method, found));
    }
  }

  /** Adds an entry that matches the method, keeping only the first entry of each gateway. */
  private static void addIfFirst(RouteEntry entry, String method, List<RouteEntry> found) {
    if (!entry.route().methods().contains(method)) {
      return;
    }
    for (int i = 0; i < found.size(); i++) {
      if (found.get(i).gateway().equals(entry.gateway())) {
        if (entry.position() < found.get(i).position()) {
          found.set(i, entry);
        }
        return;
      }
    }
    found.add(entry);
  }
}
