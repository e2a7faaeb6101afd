package org.radishpost.routing;

import org.radishpost.lib.PoolId;

/** Provides the number of slots of pools, such as {@link PoolMap#slots}. */
@FunctionalInterface
public interface PoolSlots {
  /** Returns the total slots of the targets of a pool when warm, or 0 if it is not in service. */
  int of(PoolId pool);
}
