package org.radishpost.lib;

/** How far two places are from each other, nearest first. */
public enum Distance {
  /** Both are in one availability zone. */
  SAME_ZONE,
  /** Both are in one region, in two availability zones. */
  SAME_REGION,
  /** They are in two regions. */
  OTHER_REGION
}
