package org.radishpost.slots;

import org.radishpost.lib.RegionName;
import org.radishpost.lib.ServiceName;

/**
 * Identifies the targets of a service in one region.
 *
 * @param service the service
 * @param region the region
 */
record RegionalService(ServiceName service, RegionName region) {}
