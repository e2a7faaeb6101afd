package org.radishpost.lib;

/**
 * Where something runs: a region and one of its availability zones.
 *
 * @param region the region
 * @param zone the availability zone
 */
public record Place(RegionName region, ZoneName zone) {
  /** Returns the place with the given names. */
  public static Place of(String region, String zone) {
    return new Place(new RegionName(region), new ZoneName(zone));
  }

  /** Tells how far the other place is. */
  public Distance distanceTo(Place other) {
    if (zone.equals(other.zone)) {
      return Distance.SAME_ZONE;
    }
    return region.equals(other.region) ? Distance.SAME_REGION : Distance.OTHER_REGION;
  }
}
