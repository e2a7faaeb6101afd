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
 * Finds conflicts between a manifest and the active manifests of other gateways.
 *
 * <p>A route must not match requests that a route of another tenant matches. A target must not
 * belong to two gateways, because each gateway would use all slots of the target. The result
 * depends only on the manifests. Thread-safe.
 */
public final class ManifestConflicts {
  /**
   * Returns the conflicts up to a limit; empty if there are none.
   *
   * @param manifest the manifest, which must be valid
   * @param others the active manifests; the manifest of the same gateway is ignored
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
          faults.add(path, "is a target of another gateway: use a target of this gateway");
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
            "matches requests of another tenant: use a host or path prefix that is free");
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
