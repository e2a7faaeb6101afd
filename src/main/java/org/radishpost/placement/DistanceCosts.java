package org.radishpost.placement;

import org.radishpost.lib.Distance;

/** What it costs to send a call some way: time and traffic. */
final class DistanceCosts {
  private static final double SAME_ZONE_ROUND_TRIP_NANOS = 500_000;
  private static final double SAME_REGION_ROUND_TRIP_NANOS = 1_200_000;
  private static final double OTHER_REGION_ROUND_TRIP_NANOS = 16_500_000;

  /** The worth of a kilobyte between two zones, as a share of the worth of a call in time. */
  private static final double SAME_REGION_COST_PER_KILOBYTE = 0.007;

  /** The same between two regions, where links are slow and paid by volume. */
  private static final double OTHER_REGION_COST_PER_KILOBYTE = 0.05;

  private DistanceCosts() {}

  /** Returns the time for a question and its answer. */
  static double roundTripNanos(Distance distance) {
    return switch (distance) {
      case SAME_ZONE -> SAME_ZONE_ROUND_TRIP_NANOS;
      case SAME_REGION -> SAME_REGION_ROUND_TRIP_NANOS;
      case OTHER_REGION -> OTHER_REGION_ROUND_TRIP_NANOS;
    };
  }

  /** Returns the price of the traffic, as a share of the worth of a call that is in time. */
  static double trafficCost(Distance distance, double kilobytes) {
    return switch (distance) {
      case SAME_ZONE -> 0;
      case SAME_REGION -> kilobytes * SAME_REGION_COST_PER_KILOBYTE;
      case OTHER_REGION -> kilobytes * OTHER_REGION_COST_PER_KILOBYTE;
    };
  }
}
