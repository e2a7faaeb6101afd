package org.radishpost.routing;

import org.radishpost.lib.Distance;
import org.radishpost.lib.PoolId;

/** A pool that may be chosen for a call, with its estimated cost. */
record PoolCandidate(
    PoolId pool, Distance distance, int slots, PoolEstimate estimate, long costNanos) {
  boolean isInOwnRegion() {
    return distance != Distance.OTHER_REGION;
  }
}
