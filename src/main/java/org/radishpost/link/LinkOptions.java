package org.radishpost.link;

import java.time.Duration;

/**
 * Bounds and intervals of the links of one VM.
 *
 * @param heartbeatInterval the time between heartbeats on a link that calls depend on
 * @param idleHeartbeatInterval the time between heartbeats on any other link
 * @param maxMissedHeartbeats the heartbeats without an echo after which a link counts as silent
 * @param busyTime how long a link counts as one that calls depend on after the last use
 * @param connectTimeout the longest wait for a connection and its proof, and the most that slow
 *     echoes add to the time after which a link counts as silent
 * @param initialReconnectDelay the wait before the second try to reach a peer
 * @param maxReconnectDelay the longest wait between two tries
 * @param onDemandTime how long a link that was opened on demand stays without use
 * @param maxQueuedFrames the frames that may wait for one link
 * @param maxQueuedBytes the bytes that may wait for one link
 * @param maxPendingRequests the asks of one peer that may be worked on at once
 * @param maxUnauthenticatedConnections the accepted connections that may be without proof at once
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
  /** What a VM uses unless told otherwise. */
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

  /** Checks the bounds. */
  public LinkOptions {
    if (maxMissedHeartbeats < 2
        || maxQueuedFrames < 1
        || maxQueuedBytes < 1
        || maxPendingRequests < 1) {
      throw new IllegalArgumentException("a link needs 2 missed beats and queues of at least 1");
    }
  }
}
