package org.radishpost.manifest;

import java.time.Duration;

/**
 * The limits for a freshly started target.
 *
 * <p>For a short time, two VMs may both consider themselves the owner of a target's pool. Each uses
 * at most half of {@code calls} and half of {@code callsPerSecond}, so both together stay within
 * the limits.
 *
 * @param calls the maximum number of concurrent calls to a cold target, at least 2
 * @param callsPerSecond the maximum number of calls per second to a cold target, at least 2
 * @param ramp the time over which both limits grow to those of a warm target
 */
public record ColdStartSpec(int calls, int callsPerSecond, Duration ramp) {}
