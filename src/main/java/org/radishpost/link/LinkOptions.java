package org.radishpost.link;

import java.time.Duration;

/**
 * Limits and intervals of the links of one VM.
 *
 * @param heartbeatInterval the time between heartbeats on a busy link
 * @param idleHeartbeatInterval the time between heartbeats on an idle link
 * @param maxMissedHeartbeats the number of heartbeat intervals without an echo after which a link
 *     times out, in addition to an allowance for the round-trip time
 * @param busyTime how long a link counts as busy after its last use by a call or a request
 * @param connectTimeout the maximum time to connect, and to complete the handshake; also the
 *     maximum allowance for the round-trip time
 * @param initialReconnectDelay the delay before the second attempt to connect to a peer
 * @param maxReconnectDelay the maximum delay between two attempts
 * @param onDemandTime how long a link that was opened on demand is kept even if it is not used
 * @param maxQueuedFrames the maximum number of frames in the send queue of a link
 * @param maxQueuedBytes the maximum number of bytes in the send queue of a link
 * @param maxPendingRequests the maximum number of pending requests per link in each direction
 * @param maxUnauthenticatedConnections the maximum number of connections that have not completed
 *     the handshake; further ones are closed on accept
 */
public record LinkOptions(
    Duration heartbeatInterval,
    Duration idleHeartbeatInterval,
    int maxMissedHeartbeats,
    Duration busyTime,
    Duration connectTimeout,
    Duration initialReconnectDelay,
    Duration maxReconnectDelay,
    Duration onDemandTime,
    int maxQueuedFrames,
    int maxQueuedBytes,
    int maxPendingRequests,
    int maxUnauthenticatedConnections) {
  /** The default options of a VM. */
  public static final LinkOptions DEFAULT =
      new LinkOptions(
          Duration.ofMillis(20),
          Duration.ofSeconds(1),
          3,
          Duration.ofSeconds(2),
          Duration.ofMillis(250),
          Duration.ofMillis(20),
          Duration.ofSeconds(1),
          Duration.ofMinutes(1),
          4096,
          8 * 1024 * 1024,
          4096,
          64);

  /** Checks the limits. */
  public LinkOptions {
    if (maxMissedHeartbeats < 2
        || maxQueuedFrames < 1
        || maxQueuedBytes < 1
        || maxPendingRequests < 1) {
      throw new IllegalArgumentException(
          "maxMissedHeartbeats must be at least 2, queue and request limits at least 1");
    }
  }
}
