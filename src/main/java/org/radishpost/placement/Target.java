package org.radishpost.placement;

import java.time.Duration;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.ServiceName;

/**
 * A target as it has registered itself.
 *
 * @param id its identity
 * @param service the service that it belongs to
 * @param address where it listens
 * @param place where it runs
 * @param slots the calls that it runs at once
 * @param draining whether it is leaving and takes no new work
 * @param coldRemaining how much longer it stays cold from when this was written
 * @param startedMillis when it started, in milliseconds since 1970; 0 when it doesn't say
 */
public record Target(
    TargetId id,
    ServiceName service,
    Endpoint address,
    Place place,
    int slots,
    boolean draining,
    Duration coldRemaining,
    long startedMillis) {
  /** Tells whether the other entry is about the same run of the same process. */
  public boolean sameIncarnation(Target other) {
    return id.equals(other.id)
        && startedMillis == other.startedMillis
        && address.equals(other.address)
        && service.equals(other.service);
  }
}
