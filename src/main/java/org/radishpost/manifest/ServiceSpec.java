package org.radishpost.manifest;

import java.util.List;
import org.radishpost.lib.ServiceName;

/**
 * One service of a gateway.
 *
 * @param name the name, unique in the gateway
 * @param targets the targets, at least one
 * @param coldStart what a cold target bears
 * @param probe how targets are probed
 * @param ejectPercent the largest share of the service that may be ejected as outliers, 0 to 100
 */
public record ServiceSpec(
    ServiceName name,
    List<TargetSpec> targets,
    ColdStartSpec coldStart,
    ProbeSpec probe,
    int ejectPercent) {
  /** Copies the list. */
  public ServiceSpec {
    targets = List.copyOf(targets);
  }
}
