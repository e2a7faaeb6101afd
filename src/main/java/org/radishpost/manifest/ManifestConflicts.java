package org.radishpost.manifest;

import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.TenantName;

/**
 * Judges a manifest beside those of the other gateways in force.
 *
 * <p>No tenant may take requests that a route of another tenant takes, and no target may belong to
 * two gateways, as each would use all of its slots. The verdict depends on the manifests alone.
 * Thread-safe.
 */
public final class ManifestConflicts {
  /**
   * Returns what is wrong, up to a bound; empty when nothing.
   *
   * @param manifest the manifest, without faults of its own
   * @param others the manifests of the other gateways; one of the same name is left out
   */
  public List<ManifestFault> faults(Manifest manifest, Collection<Manifest> others) {
    FaultCollector faults = new FaultCollector();
    Map<Endpoint, String> targetPaths = targetPaths(manifest);
    others.stream()
        .filter(other -> !other.gateway().equals(manifest.gateway()))
        .sorted(Comparator.comparing(Manifest::gateway))
        .forEach(
            other -> {
              checkTargets(targetPaths, other, faults);
              checkRoutes(manifest, other, faults);
            });
    return faults.faults();
  }

  private static Map<Endpoint, String> targetPaths(Manifest manifest) {
    Map<Endpoint, String> paths = new HashMap<>();
    for (int i = 0; i < manifest.services().size(); i++) {
      List<TargetSpec> targets = manifest.services().get(i).targets();
      for (int j = 0; j < targets.size(); j++) {
        paths.put(targets.get(j).address(), "services[" + i + "].targets[" + j + "].address");
      }
    }
    return paths;
  }

  private static void checkTargets(
      Map<Endpoint, String> targetPaths, Manifest other, FaultCollector faults) {
    for (ServiceSpec service : other.services()) {
      for (TargetSpec target : service.targets()) {
        String path = targetPaths.get(target.address());
        if (path != null) {
          faults.add(path, "belongs to another gateway: give a target of this one");
        }
      }
    }
  }

  private static void checkRoutes(Manifest manifest, Manifest other, FaultCollector faults) {
    TenantName tenant = manifest.tenant();
    if (other.tenant().equals(tenant)) {
      return;
    }
    for (int i = 0; i < manifest.routes().size() && !faults.isFull(); i++) {
      RouteSpec route = manifest.routes().get(i);
      if (other.routes().stream().anyMatch(each -> routesOverlap(each, route))) {
        faults.add(
            "routes[" + i + "]",
            "takes requests of another tenant: give a host or path prefix that is free");
      }
    }
  }

  private static boolean routesOverlap(RouteSpec one, RouteSpec other) {
    boolean hostsOverlap =
        one.host().equals(other.host()) || one.host().isEmpty() || other.host().isEmpty();
    return hostsOverlap
        && (isPathPrefix(one.pathPrefix(), other.pathPrefix())
            || isPathPrefix(other.pathPrefix(), one.pathPrefix()))
        && !Collections.disjoint(one.methods(), other.methods());
  }

  private static boolean isPathPrefix(String prefix, String path) {
    return prefix.equals("/")
        || path.startsWith(prefix)
            && (path.length() == prefix.length() || path.charAt(prefix.length()) == '/');
  }
}
