package org.radishpost.suspects;

import org.radishpost.lib.Digest;

/**
 * A request that was in flight to a target when the target crashed.
 *
 * @param fingerprint the digest that identifies repetitions of the request
 * @param sentNanos when the request was sent, on the monotonic clock of this VM
 */
public record LostRequest(Digest fingerprint, long sentNanos) {}
