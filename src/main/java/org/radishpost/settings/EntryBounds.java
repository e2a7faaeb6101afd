package org.radishpost.settings;

import java.time.Duration;

/**
 * The bounds within which a VM without state of its own keeps.
 *
 * @param retryRatio the retries that a service bears, as a part of the requests for it
 * @param extraRetriesPerWindow the retries that a service bears beyond that part in one window,
 *     from all VMs
 * @param gracePeriod the time between the request to stop and the end by force
 * @param heartbeatInterval how often targets renew their entries
 */
public record EntryBounds(
    double retryRatio,
    double extraRetriesPerWindow,
    Duration gracePeriod,
    Duration heartbeatInterval) {}
