package org.radishpost.placement;

/**
 * What placement needs to know of a call.
 *
 * @param route its route
 * @param respondByNanos when its answer should be there, on the runtime's monotonic clock
 * @param deadlineNanos when nobody waits for its answer any more, on the same clock
 * @param trafficKilobytes the bytes that it and its answer move, roughly
 */
public record PlacementRequest(
    String route, long respondByNanos, long deadlineNanos, double trafficKilobytes) {}
