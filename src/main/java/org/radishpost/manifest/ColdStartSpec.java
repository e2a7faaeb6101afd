package org.radishpost.manifest;

import java.time.Duration;

/**
 * What a freshly started target bears.
 *
 * <p>For a short time two VMs may both take themselves for the owner of a target's pool. Each uses
 * at most half of {@code calls} and half of {@code callsPerSecond}, so that both together stay
 * within them.
 *
 * @param calls the calls that a cold target bears at once, at least 2
 * @param callsPerSecond the calls that a cold target bears in a second, at least 2
 * @param ramp the time over which both limits grow to those of a warm target
 */
public record ColdStartSpec(int calls, int callsPerSecond, Duration ramp) {}
