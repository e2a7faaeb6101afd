package org.radishpost.manifest;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * The latency goal, attempt limit, priority and traffic split of the calls of a route.
 *
 * @param targetLatency the latency up to which a response is fully useful; empty if none is set
 * @param maxAttempts the maximum number of targets that one call may be sent to, at least 1
 * @param priority the priority of the calls, 0 is the highest
 * @param split the services among which the calls are split; empty if one service handles all calls
 */
public record RoutePolicy(
    Optional<Duration> targetLatency, int maxAttempts, int priority, List<WeightedService> split) {
  /** The policy of a route that specifies none. */
  public static final RoutePolicy DEFAULT = new RoutePolicy(Optional.empty(), 2, 0, List.of());

  /** Creates the record with an immutable copy of the list. */
  public RoutePolicy {
    split = List.copyOf(split);
  }
}
