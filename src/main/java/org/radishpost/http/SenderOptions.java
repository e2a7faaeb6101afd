package org.radishpost.http;

import java.time.Duration;
import java.util.Optional;

/**
 * How calls are sent to one kind of address.
 *
 * @param name the name in metrics
 * @param maxConnections the most connections to one address
 * @param maxIdleTime how long a connection may have been idle
 * @param connectTimeout the longest wait for a connection
 * @param correlationField the field that targets repeat in an answer, by which answers that belong
 *     to another request are left out; empty where they repeat none
 * @param acceptsCloseDelimited whether an answer may have no length and end with its connection
 */
public record SenderOptions(
    String name,
    int maxConnections,
    Duration maxIdleTime,
    Duration connectTimeout,
    Optional<String> correlationField,
    boolean acceptsCloseDelimited) {
  /** Returns options for radishpost's own interface. */
  public static SenderOptions forNative(
      String name, int maxConnections, Duration maxIdleTime, Duration connectTimeout) {
    return new SenderOptions(
        name, maxConnections, maxIdleTime, connectTimeout, Optional.empty(), false);
  }
}
