package org.radishpost.pool;

/**
 * What a target says of its own load in a header of an answer or at its load endpoint.
 *
 * @param running the calls that it runs, from every sender
 * @param slots the calls that it can run at once now
 * @param warmPercent how warm it is, 0 to 100
 * @param incarnation a text that changes when the target starts anew
 * @param draining whether it wants no new work
 */
public record LoadReport(
    int running, int slots, int warmPercent, String incarnation, boolean draining) {}
