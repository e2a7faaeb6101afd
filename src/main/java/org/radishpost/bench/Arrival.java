package org.radishpost.bench;

import org.radishpost.lib.Endpoint;

/**
 * One call that is to be sent.
 *
 * @param offsetNanos when, from the start of the load
 * @param kindIndex the place of its kind in the plan
 * @param entry where to
 * @param keySuffix the random part of its idempotency key
 */
record Arrival(long offsetNanos, int kindIndex, Endpoint entry, long keySuffix) {}
