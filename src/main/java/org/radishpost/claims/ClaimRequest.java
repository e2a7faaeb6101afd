package org.radishpost.claims;

import java.util.Optional;
import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.lib.RegionName;

/**
 * The wish to be the one attempt that runs a key.
 *
 * @param key the keyed digest of gateway, route and idempotency key
 * @param attempt the digest that names this attempt, never used before
 * @param keyTimeMillis the time that the key bears, in milliseconds since 1970
 * @param homeRegions the only regions where the claim may be handled; empty for all
 * @param requestDigest the digest of the request that the key was used with, to refuse another one
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
