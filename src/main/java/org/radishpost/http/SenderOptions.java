package org.radishpost.http;

import java.time.Duration;
import java.util.Optional;

/**
 * Options for sending calls to one kind of address.
 *
 * @param name the name of the connection pool in metrics
 * @param maxConnections the maximum number of connections per address
 * @param maxIdleTime the idle time after which a connection is not reused
 * @param connectTimeout the maximum time to wait for a connection
 * @param correlationField the field that targets copy from the request to the response, used to
 *     drop responses to other requests; empty if targets copy none
 * @param acceptsCloseDelimited whether to accept responses without a length, which end when the
 *     connection closes
 */
public record SenderOptions(
    String name,
    int maxConnections,
    Duration maxIdleTime,
    Duration connectTimeout,
    Optional<String> correlationField,
    boolean acceptsCloseDelimited) {
  /** Returns options for the native radishpost interface. */
  public static SenderOptions forNative(
      String name, int maxConnections, Duration maxIdleTime, Duration connectTimeout) {
    return new SenderOptions(
        name, maxConnections, maxIdleTime, connectTimeout, Optional.empty(), false);
  }

  /** Returns options for calls to other VMs, which copy the ID of each call to the response. */
  public static SenderOptions forHops(
      String name, int maxConnections, Duration maxIdleTime, Duration connectTimeout) {
    return new SenderOptions(
        name, maxConnections, maxIdleTime, connectTimeout, Optional.of(HeaderNames.HOP_ID), false);
  }
}
