package org.radishpost.admin;

import java.util.List;
import org.radishpost.pool.PoolView;
import org.radishpost.pool.TargetStatus;

/**
 * A pool as its owner sees it.
 *
 * @param view its load
 * @param targets its targets
 */
public record PoolStatus(PoolView view, List<TargetStatus> targets) {
  /** Copies the list. */
  public PoolStatus {
    targets = List.copyOf(targets);
  }
}
