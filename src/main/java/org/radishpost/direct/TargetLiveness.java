package org.radishpost.direct;

/** What a status check says of the process of a target. */
enum TargetLiveness {
  /** The process that was called still responds. */
  ALIVE,
  /** The address refuses connections, or another process responds there. */
  GONE,
  /** The check was not answered, which proves neither. */
  UNKNOWN
}
