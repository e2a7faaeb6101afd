package org.radishpost.pool;

/** The state of a target from the view of the owner of its pool. */
public enum TargetState {
  /** Recently started or not yet known: receives calls up to the cold-start limits. */
  COLD,
  /** Warming up: the limits grow from the cold-start limits to the full limit. */
  RAMPING,
  /** Warm: receives calls up to its full limit. */
  WARM,
  /** Temporarily ejected as an outlier: receives no calls. */
  EJECTED,
  /** Draining: receives no new calls. */
  DRAINING
}
