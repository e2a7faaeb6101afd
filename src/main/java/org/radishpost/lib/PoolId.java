package org.radishpost.lib;

/**
 * Identifies a pool: the targets of one service in one availability zone, or one shard of them.
 *
 * @param gateway the gateway that the service belongs to
 * @param service the service
 * @param place the region and zone of the targets
 * @param shard the shard number, 0 for a pool that is not split
 */
public record PoolId(GatewayName gateway, ServiceName service, Place place, int shard) {
  @Override
  public String toString() {
    return gateway + "/" + service + "@" + place.zone() + "#" + shard;
  }
}
