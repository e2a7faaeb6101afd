package org.radishpost.http;

import java.time.Duration;
import java.util.Optional;

/**
 * How calls are sent to one kind of address.
 *
 * @param name the name in metrics
 * @param maxConnections the most connections to one address
 * @param maxIdle how long a connection may have been idle
 * @param connectLimit the longest wait for a connection
 * @param correlationField the field that targets repeat in an answer, by which answers that belong
 *     to another request are left out; empty where they repeat none
 * @param acceptsUnframed whether an answer may have no length and end with its connection
 */
public record SenderOptions(
    String name,
    int maxConnections,
    Duration maxIdle,
    Duration connectLimit,
    Optional<String> correlationField,
    boolean acceptsUnframed) {
  /** Returns options for radishpost's own interface. */
  public static SenderOptions own(
      String name, int maxConnections, Duration maxIdle, Duration connectLimit) {
    return new SenderOptions(name, maxConnections, maxIdle, connectLimit, Optional.empty(), false);
  }
}
