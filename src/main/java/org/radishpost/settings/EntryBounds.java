package org.radishpost.settings;

import java.time.Duration;

/**
 * Limits and intervals set by operators for a VM that keeps no state.
 *
 * @param retryRatio the allowed retries per service, as a fraction of the requests for the service
 * @param extraRetriesPerWindow the retries that are allowed per service and window beyond that
 *     fraction, for all VMs together
 * @param gracePeriod the time between the request to stop and the forced termination
 * @param heartbeatInterval how often targets renew their entries
 */
public record EntryBounds(
    double retryRatio,
    double extraRetriesPerWindow,
    Duration gracePeriod,
    Duration heartbeatInterval) {}
