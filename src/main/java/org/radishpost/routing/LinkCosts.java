package org.radishpost.routing;

import java.time.Duration;
import org.radishpost.lib.Distance;

/**
 * What a way between two VMs costs a call, all as time so that it can be weighed against waits.
 *
 * @param zoneOneWay the latency between two zones of one region, one way
 * @param regionOneWay the latency between two regions, one way
 * @param zoneNanosPerByte what a byte between two zones of one region costs
 * @param regionNanosPerByte what a byte between two regions costs: its share of the bandwidth and
 *     its price
 */
public record LinkCosts(
    Duration zoneOneWay,
    Duration regionOneWay,
    double zoneNanosPerByte,
    double regionNanosPerByte) {
  /** The costs of both deployments of today. */
  public static final LinkCosts DEFAULT =
      new LinkCosts(Duration.ofNanos(500_000), Duration.ofMillis(8), 1, 20);

  /** Returns the time that the way takes there and back. */
  public long roundTripNanos(Distance distance) {
    return switch (distance) {
      case SAME_ZONE -> 0;
      case SAME_REGION -> 2 * zoneOneWay.toNanos();
      case OTHER_REGION -> 2 * regionOneWay.toNanos();
    };
  }

  /** Returns what it costs to send so many bytes. */
  public long byteNanos(Distance distance, long bytes) {
    return switch (distance) {
      case SAME_ZONE -> 0;
      case SAME_REGION -> (long) (bytes * zoneNanosPerByte);
      case OTHER_REGION -> (long) (bytes * regionNanosPerByte);
    };
  }
}
