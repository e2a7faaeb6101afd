package org.radishpost.claims;

import java.util.Optional;
import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.lib.RegionName;

/**
 * A request to claim an idempotency key for one attempt.
 *
 * @param key the keyed digest of the gateway, route and idempotency key
 * @param attempt the digest that identifies this attempt; must be unique
 * @param keyTimeMillis the time in the key, in milliseconds since 1970
 * @param homeRegions the regions that may process the claim; empty for all regions
 * @param requestDigest the digest of the request, to detect the use of the key with a different
 *     request; empty to skip this check
 */
public record ClaimRequest(
    Digest key,
    Digest attempt,
    long keyTimeMillis,
    Set<RegionName> homeRegions,
    Optional<Digest> requestDigest) {
  /** Copies the set. */
  public ClaimRequest {
    homeRegions = Set.copyOf(homeRegions);
  }
}
