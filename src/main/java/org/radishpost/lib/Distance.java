package org.radishpost.lib;

/** The distance between two places, from near to far. */
public enum Distance {
  /** The places are in the same availability zone. */
  SAME_ZONE,
  /** The places are in the same region but in different availability zones. */
  SAME_REGION,
  /** The places are in different regions. */
  OTHER_REGION
}
