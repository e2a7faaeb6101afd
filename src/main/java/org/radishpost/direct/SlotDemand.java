package org.radishpost.direct;

import java.time.Duration;
import java.util.Set;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;
import org.radishpost.placement.TargetId;

/**
 * What a call needs from a broker.
 *
 * @param region the region of the targets
 * @param service the service that handles the call
 * @param route the route of the call
 * @param excluded the targets that must not be offered
 * @param respondWithin the remaining time in which a response is in time; may be negative
 * @param maxWait how long to wait for a free slot
 * @param hasAlternative whether another region can be asked, so that a long wait should be refused
 * @param lifetime the remaining time until the deadline of the call
 */
record SlotDemand(
    RegionName region,
    ServiceName service,
    String route,
    Set<TargetId> excluded,
    Duration respondWithin,
    Duration maxWait,
    boolean hasAlternative,
    Duration lifetime) {}
