package org.radishpost.routing;

import org.radishpost.lib.Distance;

/**
 * The bytes exchanged between this VM and its peers at one distance since the process started.
 *
 * @param distance the distance to the peers
 * @param callsSent the bytes of calls and responses sent
 * @param callsReceived the bytes of calls and responses received
 * @param controlSent the bytes of all other messages sent
 * @param controlReceived the bytes of all other messages received
 */
public record LinkBytes(
    Distance distance,
    long callsSent,
    long callsReceived,
    long controlSent,
    long controlReceived) {}
