package org.radishpost.suspects;

import org.radishpost.lib.Digest;

/** Learns of the crashes that this VM counts; must not block. */
@FunctionalInterface
public interface SuspectListener {
  /**
   * A target has crashed while the request ran on it.
   *
   * @param fingerprint the digest of the request
   * @param points what this VM has counted for it, see {@link SuspectRegistry#CRASH_POINTS}
   */
  void counted(Digest fingerprint, int points);
}
