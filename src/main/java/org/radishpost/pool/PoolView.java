package org.radishpost.pool;

import org.radishpost.lib.PoolId;

/**
 * The state of a pool as its owner reports it to other VMs with every response.
 *
 * @param pool the pool
 * @param slots the number of calls that the pool may currently run concurrently
 * @param running the number of calls that were sent to targets and have not ended
 * @param queued the number of queued calls
 * @param waitNanos the estimated queue wait of a new call of medium weight
 * @param serviceNanos the mean service time
 * @param configVersion the version of the owner's current configuration
 */
public record PoolView(
    PoolId pool,
    int slots,
    int running,
    int queued,
    long waitNanos,
    long serviceNanos,
    long configVersion) {}
