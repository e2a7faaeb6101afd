package org.radishpost.manifest;

import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;

/**
 * One target of a service.
 *
 * @param address the address on which the target listens
 * @param place the region and zone of the target
 * @param slots the number of calls that the target can run concurrently when warm
 * @param connections the maximum number of open connections to the target
 */
public record TargetSpec(Endpoint address, Place place, int slots, int connections) {}
