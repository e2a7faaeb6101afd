package org.radishpost.placement;

import org.radishpost.lib.Distance;

/** Latency and traffic cost of a call by the distance to its target. */
final class DistanceCosts {
  private static final double SAME_ZONE_ROUND_TRIP_NANOS = 500_000;
  private static final double SAME_REGION_ROUND_TRIP_NANOS = 1_200_000;
  private static final double OTHER_REGION_ROUND_TRIP_NANOS = 16_500_000;

  /** Cost of a kilobyte sent between two zones; 1 is the value of a response in time. */
  private static final double SAME_REGION_COST_PER_KILOBYTE = 0.007;

  /** Cost of a kilobyte sent between two regions, where links are slow and billed by volume. */
  private static final double OTHER_REGION_COST_PER_KILOBYTE = 0.05;

  private DistanceCosts() {}

  /** Returns the network round-trip time. */
  static double roundTripNanos(Distance distance) {
    return switch (distance) {
      case SAME_ZONE -> SAME_ZONE_ROUND_TRIP_NANOS;
      case SAME_REGION -> SAME_REGION_ROUND_TRIP_NANOS;
      case OTHER_REGION -> OTHER_REGION_ROUND_TRIP_NANOS;
    };
  }

  /** Returns the cost of the traffic; 1 is the value of a response in time. */
  static double trafficCost(Distance distance, double kilobytes) {
    return switch (distance) {
      case SAME_ZONE -> 0;
      case SAME_REGION -> kilobytes * SAME_REGION_COST_PER_KILOBYTE;
      case OTHER_REGION -> kilobytes * OTHER_REGION_COST_PER_KILOBYTE;
    };
  }
}
