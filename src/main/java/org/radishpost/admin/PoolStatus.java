package org.radishpost.admin;

import java.util.List;
import org.radishpost.pool.PoolView;
import org.radishpost.pool.TargetStatus;

/**
 * The state of a pool as seen by its owner.
 *
 * @param view the load of the pool
 * @param targets the states of the pool's targets
 */
public record PoolStatus(PoolView view, List<TargetStatus> targets) {
  /** Makes a defensive copy of the list. */
  public PoolStatus {
    targets = List.copyOf(targets);
  }
}
