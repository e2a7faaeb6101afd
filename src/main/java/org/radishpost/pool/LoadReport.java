package org.radishpost.pool;

/**
 * The load that a target reports in a response header or at its load endpoint.
 *
 * @param running the number of calls that the target is running, from all senders
 * @param slots the number of calls that the target can currently run concurrently
 * @param warmPercent the progress of the target's warm-up, 0 to 100
 * @param incarnation an identifier that changes when the target restarts
 * @param draining whether the target accepts no new calls
 */
public record LoadReport(
    int running, int slots, int warmPercent, String incarnation, boolean draining) {}
