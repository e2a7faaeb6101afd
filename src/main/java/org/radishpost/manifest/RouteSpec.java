package org.radishpost.manifest;

import java.time.Duration;
import java.util.Set;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.RequestKind;
import org.radishpost.lib.ServiceName;

/**
 * One route of a gateway: which requests it takes and how they are treated.
 *
 * @param name the name, unique in the gateway
 * @param host the value of the Host header without the port, or empty for every host
 * @param methods the HTTP methods, upper case, at least one
 * @param pathPrefix the first segments of the path, beginning with a slash
 * @param service the service that answers
 * @param kind what the request does
 * @param weight the weight of one request in admission and in reports, at least 1
 * @param idempotent whether the request may be repeated
 * @param deadline the time that a call has when its caller names none
 * @param maxBodyBytes the largest request body
 * @param homeRegions the only regions where the call may be served, sent and stored; empty for all
 * @param duplicateGuard how the call is kept from running twice
 * @param policy latency, attempts, rank and split
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
  /** Copies the sets. */
  public RouteSpec {
    methods = Set.copyOf(methods);
    homeRegions = Set.copyOf(homeRegions);
  }

  /** Creates a route with the default terms. */
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

  /** Tells whether the call may be in the region. */
  public boolean allowsRegion(RegionName region) {
    return homeRegions.isEmpty() || homeRegions.contains(region);
  }
}
