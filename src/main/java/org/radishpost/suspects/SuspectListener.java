package org.radishpost.suspects;

import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.lib.RegionName;

/** Learns of the crashes that this VM counts; must not block. */
@FunctionalInterface
public interface SuspectListener {
  /**
   * A target has crashed while the request ran on it.
   *
   * @param homeRegions the only regions that may hear of it; empty for all
   * @param fingerprint the digest of the request
   * @param points what this VM has counted for it, see {@link SuspectRegistry#POINTS_PER_CRASH}
   */
  void crashCounted(Set<RegionName> homeRegions, Digest fingerprint, int points);
}
