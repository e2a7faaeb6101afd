package org.radishpost.routing;

import org.radishpost.lib.Distance;
import org.radishpost.lib.PoolId;

/** A pool that may take a call, with what it is expected to cost. */
record PoolCandidate(
    PoolId pool, Distance distance, int slots, PoolEstimate estimate, long costNanos) {
  boolean isInOwnRegion() {
    return distance != Distance.OTHER_REGION;
  }
}
