package org.radishpost.bench;

import org.radishpost.lib.Endpoint;

/**
 * A call that the load driver is scheduled to send.
 *
 * @param offsetNanos the scheduled send time, measured from the start of the load
 * @param kindIndex the index of the call's kind in {@link LoadPlan#kinds}
 * @param entry the address to send the call to
 * @param keySuffix the random part of the call's idempotency key
 */
record Arrival(long offsetNanos, int kindIndex, Endpoint entry, long keySuffix) {}
