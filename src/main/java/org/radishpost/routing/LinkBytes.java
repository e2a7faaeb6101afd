package org.radishpost.routing;

import org.radishpost.lib.Distance;

/**
 * The bytes on the links between this VM and those at one distance since the start.
 *
 * @param distance how far the other VMs are
 * @param callsSent the bytes of calls and answers sent
 * @param callsReceived the bytes of calls and answers received
 * @param controlSent the bytes of all else sent
 * @param controlReceived the bytes of all else received
 */
public record LinkBytes(
    Distance distance,
    long callsSent,
    long callsReceived,
    long controlSent,
    long controlReceived) {}
