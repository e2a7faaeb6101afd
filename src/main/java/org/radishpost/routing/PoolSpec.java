package org.radishpost.routing;

import java.util.List;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.manifest.TargetSpec;

/**
 * What a pool consists of.
 *
 * @param service the service
 * @param targets the targets of the pool, at least one
 * @param slots the calls that all targets together run at once when warm
 */
public record PoolSpec(ServiceSpec service, List<TargetSpec> targets, int slots) {
  /** Copies the list. */
  public PoolSpec {
    targets = List.copyOf(targets);
  }

  /** Creates one and counts its slots. */
  public PoolSpec(ServiceSpec service, List<TargetSpec> targets) {
    this(service, targets, targets.stream().mapToInt(TargetSpec::slots).sum());
  }
}
