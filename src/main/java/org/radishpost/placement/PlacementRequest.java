package org.radishpost.placement;

/**
 * The properties of a call that determine the selection of its target.
 *
 * @param route the name of the route
 * @param respondByNanos when the response should arrive according to the target latency of the
 *     route, on the runtime's monotonic clock
 * @param deadlineNanos when the caller stops waiting for the response, on the same clock
 * @param trafficKilobytes the approximate size of the request and the response together
 */
public record PlacementRequest(
    String route, long respondByNanos, long deadlineNanos, double trafficKilobytes) {}
