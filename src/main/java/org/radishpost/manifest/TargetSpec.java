package org.radishpost.manifest;

import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;

/**
 * One target of a service.
 *
 * @param address where it listens
 * @param place where it runs
 * @param slots the calls that it runs at once when warm
 * @param connections the open connections that it bears
 */
public record TargetSpec(Endpoint address, Place place, int slots, int connections) {}
