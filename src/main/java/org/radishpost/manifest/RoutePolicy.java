package org.radishpost.manifest;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * What a route promises its callers beyond which service answers.
 *
 * @param targetLatency the time within which an answer is of full use; empty where none is set
 * @param maxAttempts the most targets that one call may be sent to, at least 1
 * @param priority the rank of its calls, 0 is the highest
 * @param split the services over which its calls are spread; empty when one service answers all
 */
public record RoutePolicy(
    Optional<Duration> targetLatency, int maxAttempts, int priority, List<WeightedService> split) {
  /** The terms of a route that names none. */
  public static final RoutePolicy DEFAULT = new RoutePolicy(Optional.empty(), 2, 0, List.of());

  /** Copies the list. */
  public RoutePolicy {
    split = List.copyOf(split);
  }
}
