package org.radishpost.lib;

import java.util.Optional;
import java.util.Set;

/**
 * The attributes of one attempt of a call that admission, routing and pools base their decisions
 * on.
 *
 * @param id the ID of the attempt
 * @param gateway the gateway that received the call
 * @param route the name of the matching route
 * @param service the service that handles the call
 * @param tenant the tenant whose caller sent the call
 * @param kind the kind of request
 * @param weight the weight of the call in admission, at least 1
 * @param idempotent whether the call may be repeated
 * @param deadlineNanos the deadline on the runtime's monotonic clock
 * @param bodyBytes the length of the body, or -1 if it is unknown
 * @param homeRegions the only regions in which the call may be processed; empty for all regions
 * @param fingerprint the digest that identifies repetitions of the request; empty if the body is
 *     too large
 * @param depth the number of calls above this one in its call chain, 0 for the first call
 */
public record CallInfo(
    CallId id,
    GatewayName gateway,
    String route,
    ServiceName service,
    TenantName tenant,
    RequestKind kind,
    int weight,
    boolean idempotent,
    long deadlineNanos,
    long bodyBytes,
    Set<RegionName> homeRegions,
    Optional<Digest> fingerprint,
    int depth) {
  /** Creates the record with an immutable copy of the regions. */
  public CallInfo {
    homeRegions = Set.copyOf(homeRegions);
  }

  /** Returns whether the call may be processed in the region. */
  public boolean allowsRegion(RegionName region) {
    return homeRegions.isEmpty() || homeRegions.contains(region);
  }
}
