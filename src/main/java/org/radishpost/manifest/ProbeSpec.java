package org.radishpost.manifest;

import java.time.Duration;

/**
 * How the targets of a service are probed for their load.
 *
 * @param path the path of the load endpoint
 * @param cost the time for which one probe occupies a target
 * @param interval the minimum time between two probes of one target, across all VMs
 */
public record ProbeSpec(String path, Duration cost, Duration interval) {}
