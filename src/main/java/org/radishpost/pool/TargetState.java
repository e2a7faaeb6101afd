package org.radishpost.pool;

/** How the owner of a pool sees one target. */
public enum TargetState {
  /** Freshly started or not yet known: takes only what a cold target bears. */
  COLD,
  /** Growing towards its full limit. */
  RAMPING,
  /** Takes its full limit. */
  WARM,
  /** Ejected as an outlier for a while. */
  EJECTED,
  /** Leaving: takes no new work. */
  DRAINING
}
