package org.radishpost.routing;

import org.radishpost.lib.PoolId;

/** Tells how large pools are, such as {@link PoolMap#slots} of the configuration in force. */
@FunctionalInterface
public interface PoolSlots {
  /** Returns the slots of a pool's targets when warm, 0 for a pool that is not in service. */
  int of(PoolId pool);
}
