package org.radishpost.link;

import java.time.Duration;

/**
 * Bounds and intervals of the links of one VM.
 *
 * @param beatInterval the time between heartbeats on a link that calls depend on
 * @param idleBeatInterval the time between heartbeats on any other link
 * @param missedBeats the heartbeats without an echo after which a link counts as silent
 * @param busyTime how long a link counts as one that calls depend on after the last use
 * @param connectLimit the longest wait for a connection and its proof, and the most that slow
 *     echoes add to the time after which a link counts as silent
 * @param reconnectFirst the wait before the second try to reach a peer
 * @param reconnectMost the longest wait between two tries
 * @param demandTime how long a link that was opened on demand stays without use
 * @param queueFrames the frames that may wait for one link
 * @param queueBytes the bytes that may wait for one link
 * @param pendingAsks the asks of one peer that may be worked on at once
 * @param unprovedConnections the accepted connections that may be without proof at once
 */
public record LinkOptions(
    Duration beatInterval,
    Duration idleBeatInterval,
    int missedBeats,
    Duration busyTime,
    Duration connectLimit,
    Duration reconnectFirst,
    Duration reconnectMost,
    Duration demandTime,
    int queueFrames,
    int queueBytes,
    int pendingAsks,
    int unprovedConnections) {
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
    if (missedBeats < 2 || queueFrames < 1 || queueBytes < 1 || pendingAsks < 1) {
      throw new IllegalArgumentException("a link needs 2 missed beats and queues of at least 1");
    }
  }
}
