package org.radishpost.manifest;

import java.time.Duration;
import java.util.Set;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;

/**
 * One route of a gateway: the requests that it matches and how they are handled.
 *
 * @param name the name, unique in the gateway
 * @param host the value of the Host header without the port, or empty for every host
 * @param methods the HTTP methods, upper case, at least one
 * @param pathPrefix the leading segments of the path, beginning with a slash
 * @param service the service that handles the requests
 * @param kind the kind of request
 * @param weight the weight of one request in admission and in reports, at least 1
 * @param idempotent whether the request may be repeated
 * @param deadline the time limit of a call whose caller specifies none
 * @param maxBodyBytes the maximum size of a request body
 * @param homeRegions the only regions in which a call may be processed, sent and stored; empty for
 *     all regions
 * @param duplicateGuard how a call is prevented from running twice
 * @param policy latency goal, attempts, priority and traffic split
 */
public record RouteSpec(
    String name,
    String host,
    Set<String> methods,
    String pathPrefix,
    ServiceName service,
    RequestKind kind,
    int weight,
    boolean idempotent,
    Duration deadline,
    long maxBodyBytes,
    Set<RegionName> homeRegions,
    DuplicateGuard duplicateGuard,
    RoutePolicy policy) {
  /** Creates the record with immutable copies of the sets. */
  public RouteSpec {
    methods = Set.copyOf(methods);
    homeRegions = Set.copyOf(homeRegions);
  }

  /** Creates a route with the default policy. */
  public RouteSpec(
      String name,
      String host,
      Set<String> methods,
      String pathPrefix,
      ServiceName service,
      RequestKind kind,
      int weight,
      boolean idempotent,
      Duration deadline,
      long maxBodyBytes,
      Set<RegionName> homeRegions,
      DuplicateGuard duplicateGuard) {
    this(
        name,
        host,
        methods,
        pathPrefix,
        service,
        kind,
        weight,
        idempotent,
        deadline,
        maxBodyBytes,
        homeRegions,
        duplicateGuard,
        RoutePolicy.DEFAULT);
  }

  /** Returns whether a call may be processed in the region. */
  public boolean allowsRegion(RegionName region) {
    return homeRegions.isEmpty() || homeRegions.contains(region);
  }
}
