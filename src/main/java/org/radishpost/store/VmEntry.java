package org.radishpost.store;

import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;

/**
 * One VM of the system, as listed by the platform.
 *
 * @param id the ID of the VM process
 * @param place the region and zone of the VM
 * @param link the address for links from other VMs
 * @param hop the address for calls from other VMs
 * @param leaving whether the VM is about to stop
 */
public record VmEntry(VmId id, Place place, Endpoint link, Endpoint hop, boolean leaving) {}
