package org.radishpost.manifest;

import java.util.List;
import org.radishpost.lib.ServiceName;

/**
 * One service of a gateway.
 *
 * @param name the name, unique in the gateway
 * @param targets the targets, at least one
 * @param coldStart the limits for cold targets
 * @param probe how targets are probed
 * @param ejectPercent the maximum share of the service that may be ejected as outliers, in percent
 */
public record ServiceSpec(
    ServiceName name,
    List<TargetSpec> targets,
    ColdStartSpec coldStart,
    ProbeSpec probe,
    int ejectPercent) {
  /** Creates the record with an immutable copy of the list. */
  public ServiceSpec {
    targets = List.copyOf(targets);
  }
}
