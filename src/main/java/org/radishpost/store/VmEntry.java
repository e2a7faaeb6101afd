package org.radishpost.store;

import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;

/**
 * One VM of the system, as the platform lists it.
 *
 * @param id the identity of the process
 * @param place where it runs
 * @param link where it takes links from other VMs
 * @param hop where it takes calls from other VMs
 * @param leaving whether it is about to stop
 */
public record VmEntry(VmId id, Place place, Endpoint link, Endpoint hop, boolean leaving) {}
