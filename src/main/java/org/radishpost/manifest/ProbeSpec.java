package org.radishpost.manifest;

import java.time.Duration;

/**
 * How the targets of a service are probed.
 *
 * @param path the path of the load endpoint
 * @param cost the time that one probe takes of the target
 * @param interval the shortest time between two probes of one target over all VMs
 */
public record ProbeSpec(String path, Duration cost, Duration interval) {}
