package org.radishpost.pool;

import org.radishpost.lib.PoolId;

/**
 * What the owner of a pool tells others about it; it travels on every answer.
 *
 * @param pool the pool
 * @param slots the calls that the pool may run at once now
 * @param running the calls that run
 * @param queued the calls that wait
 * @param waitNanos the wait that a call of middle weight would have now
 * @param serviceNanos the mean time that a target takes for a call
 * @param configVersion the version of the configuration that the owner has in force
 */
public record PoolView(
    PoolId pool,
    int slots,
    int running,
    int queued,
    long waitNanos,
    long serviceNanos,
    long configVersion) {}
