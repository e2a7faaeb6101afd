package org.radishpost.lib;

/**
 * A region and one of its availability zones, in which a process runs.
 *
 * @param region the region
 * @param zone the availability zone
 */
public record Place(RegionName region, ZoneName zone) {
  /** Returns the place with the given region and zone names. */
  public static Place of(String region, String zone) {
    return new Place(new RegionName(region), new ZoneName(zone));
  }

  /** Returns the distance to the other place. */
  public Distance distanceTo(Place other) {
    if (zone.equals(other.zone)) {
      return Distance.SAME_ZONE;
    }
    return region.equals(other.region) ? Distance.SAME_REGION : Distance.OTHER_REGION;
  }
}
