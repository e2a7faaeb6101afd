/**
 * Assigns the free slots of targets to the calls of all VMs.
 *
 * <p>A {@link org.radishpost.slots.SlotBroker} runs on each relay. A VM requests a slot for a call,
 * sends the call directly to the offered target, and returns the slot together with the load that
 * the target reported. An offer is a lease: it ends by itself if the VM does not return it. Nothing
 * is agreed on or stored; without a broker, VMs select targets by load probes.
 */
package org.radishpost.slots;
