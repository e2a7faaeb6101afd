package org.radishpost.lib;

import java.util.Optional;
import java.util.Set;

/**
 * What decisions know about one attempt of a call.
 *
 * @param id the attempt
 * @param gateway the gateway that took it
 * @param route the name of the route
 * @param service the service that answers
 * @param tenant the tenant whose caller sent it
 * @param kind what the request does
 * @param weight its weight, at least 1
 * @param idempotent whether it may be repeated
 * @param deadlineNanos when its time is over, on the runtime's monotonic clock
 * @param bodyBytes the length of the body, or -1 when it is not known
 * @param homeRegions the only regions where it may be; empty for all
 * @param fingerprint what makes the same request recognizable, none for a large body
 * @param depth how many calls lie above it in its chain, from 0
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
  /** Copies the set. */
  public CallInfo {
    homeRegions = Set.copyOf(homeRegions);
  }

  /** Tells whether the call may be in the region. */
  public boolean allowsRegion(RegionName region) {
    return homeRegions.isEmpty() || homeRegions.contains(region);
  }
}
