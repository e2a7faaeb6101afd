package org.radishpost.routing;

import java.util.List;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;

/**
 * The service and the targets of a pool.
 *
 * @param service the service
 * @param targets the targets of the pool, at least one
 * @param slots the maximum number of calls that all targets together run concurrently when warm
 */
public record PoolSpec(ServiceSpec service, List<TargetSpec> targets, int slots) {
  /** Copies the list of targets. */
  public PoolSpec {
    targets = List.copyOf(targets);
  }

  /** Creates a pool whose slots are the sum of the slots of its targets. */
  public PoolSpec(ServiceSpec service, List<TargetSpec> targets) {
    this(service, targets, targets.stream().mapToInt(TargetSpec::slots).sum());
  }
}
