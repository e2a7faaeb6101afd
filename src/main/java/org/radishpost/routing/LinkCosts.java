package org.radishpost.routing;

import java.time.Duration;
import org.radishpost.lib.Distance;

/**
 * The cost of sending a call to another VM, expressed as time to make it comparable to queue waits.
 *
 * @param zoneOneWay the one-way latency between two zones of a region
 * @param regionOneWay the one-way latency between two regions
 * @param zoneNanosPerByte the cost of a byte sent between two zones of a region
 * @param regionNanosPerByte the cost of a byte sent between two regions, which covers bandwidth and
 *     price
 */
public record LinkCosts(
    Duration zoneOneWay,
    Duration regionOneWay,
    double zoneNanosPerByte,
    double regionNanosPerByte) {
  /** The costs for both current deployments. */
  public static final LinkCosts DEFAULT =
      new LinkCosts(Duration.ofNanos(500_000), Duration.ofMillis(8), 1, 20);

  /** Returns the network round-trip time. */
  public long roundTripNanos(Distance distance) {
    return switch (distance) {
      case SAME_ZONE -> 0;
      case SAME_REGION -> 2 * zoneOneWay.toNanos();
      case OTHER_REGION -> 2 * regionOneWay.toNanos();
    };
  }

  /** Returns the cost of sending the given number of bytes. */
  public long byteNanos(Distance distance, long bytes) {
    return switch (distance) {
      case SAME_ZONE -> 0;
      case SAME_REGION -> (long) (bytes * zoneNanosPerByte);
      case OTHER_REGION -> (long) (bytes * regionNanosPerByte);
    };
  }
}
