package org.radishpost.suspects;

import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.lib.RegionName;

/** Receives every crash that this VM counts for a request. Implementations must not block. */
@FunctionalInterface
public interface SuspectListener {
  /**
   * Called when a target has crashed while it was running the request.
   *
   * @param homeRegions the regions that may be informed of the request; empty for all regions
   * @param fingerprint the digest of the request
   * @param points the total points that this VM has counted for the request, see {@link
   *     SuspectRegistry#POINTS_PER_CRASH}
   */
  void crashCounted(Set<RegionName> homeRegions, Digest fingerprint, int points);
}
