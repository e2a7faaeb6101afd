package org.radishpost.link;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Tells from heartbeats whether a link works in both directions; thread-safe, driven by ticks.
 *
 * <p>A link counts as silent when a beat of this end stays without an echo for too long, whatever
 * else arrives: a link that is cut in one direction is down at both ends. Ages are counted in the
 * time that this process was awake: while ticks fail to come, no peer ages by more than two of
 * them.
 */
final class LinkHealth {
  private static final int DEVIATION_FACTOR = 4;
  private static final int MAX_TICK_GAP_INTERVALS = 2;

  private final long heartbeatIntervalNanos;
  private final long idleHeartbeatIntervalNanos;
  private final long busyTimeNanos;
  private final int maxMissedHeartbeats;
  private final long maxAllowanceNanos;
  private final Deque<SentHeartbeat> unacknowledged = new ArrayDeque<>();
  private long lastSentSequence;
  private long lastReceivedSequence;
  private boolean echoPending;
  private long lastSentConfigVersion;
  private long awakeNanos;
  private long lastHeartbeatNanos;
  private long lastTickNanos;
  private long lastUseNanos;
  private long roundTripNanos;
  private long deviationNanos;

  private record SentHeartbeat(long sequence, long sentNanos, long sentAwakeNanos) {}

  /** What a tick found. */
  enum TickResult {
    /** Nothing is to be done. */
    NONE,
    /** A beat is due. */
    HEARTBEAT_DUE,
    /** The link is silent. */
    TIMED_OUT
  }

  LinkHealth(LinkOptions options, long nowNanos) {
    heartbeatIntervalNanos = options.heartbeatInterval().toNanos();
    idleHeartbeatIntervalNanos = options.idleHeartbeatInterval().toNanos();
    busyTimeNanos = options.busyTime().toNanos();
    maxAllowanceNanos = options.connectTimeout().toNanos();
    maxMissedHeartbeats = options.maxMissedHeartbeats();
    lastTickNanos = nowNanos;
    lastUseNanos = nowNanos;
    lastHeartbeatNanos = nowNanos - idleHeartbeatIntervalNanos;
  }

  /** Notes that a call depends on the link. */
  synchronized void recordUse(long nowNanos) {
    lastUseNanos = nowNanos;
  }

  /** Returns when a call last depended on the link. */
  synchronized long lastUseNanos() {
    return lastUseNanos;
  }

  /**
   * Decides what is due, once for each tick; a new version of the configuration goes out at once.
   */
  synchronized TickResult tick(long nowNanos, long configVersion) {
    awakeNanos +=
        Math.min(nowNanos - lastTickNanos, MAX_TICK_GAP_INTERVALS * heartbeatIntervalNanos);
    lastTickNanos = nowNanos;
    SentHeartbeat oldest = unacknowledged.peekFirst();
    if (oldest != null && awakeNanos - oldest.sentAwakeNanos > timeoutNanos()) {
      return TickResult.TIMED_OUT;
    }
    boolean expedited =
        recentlyUsed(nowNanos) || echoPending || configVersion != lastSentConfigVersion;
    long intervalNanos = expedited ? heartbeatIntervalNanos : idleHeartbeatIntervalNanos;
    return nowNanos - lastHeartbeatNanos >= intervalNanos - heartbeatIntervalNanos / 2
        ? TickResult.HEARTBEAT_DUE
        : TickResult.NONE;
  }

  /** Returns the next beat to be sent, which the peer has to echo. */
  synchronized HeartbeatBody nextHeartbeat(long nowNanos, long configVersion) {
    lastSentSequence++;
    echoPending = false;
    lastSentConfigVersion = configVersion;
    unacknowledged.addLast(new SentHeartbeat(lastSentSequence, nowNanos, awakeNanos));
    lastHeartbeatNanos = nowNanos;
    return new HeartbeatBody(lastSentSequence, lastReceivedSequence, true, configVersion);
  }

  /**
   * Notes a beat of the peer.
   *
   * @return the beat that echoes it, unless one is due soon anyway
   */
  synchronized Optional<HeartbeatBody> receive(
      HeartbeatBody heartbeat, long nowNanos, long configVersion) {
    lastReceivedSequence = heartbeat.sequence();
    while (!unacknowledged.isEmpty() && unacknowledged.peekFirst().sequence <= heartbeat.echo()) {
      SentHeartbeat acknowledged = unacknowledged.removeFirst();
      long sampleNanos = nowNanos - acknowledged.sentNanos;
      updateRoundTrip(sampleNanos);
    }
    echoPending |= heartbeat.echoRequested() && recentlyUsed(nowNanos);
    if (!heartbeat.echoRequested() || echoPending) {
      return Optional.empty();
    }
    return Optional.of(
        new HeartbeatBody(lastSentSequence, lastReceivedSequence, false, configVersion));
  }

  /** Returns the smoothed time from a beat to its echo. */
  synchronized long roundTripNanos() {
    return roundTripNanos;
  }

  /** Returns how long a beat may stay without an echo: longer where echoes are slow or uneven. */
  synchronized long timeoutNanos() {
    long allowanceNanos =
        roundTripNanos == 0
            ? maxAllowanceNanos
            : 2 * roundTripNanos + DEVIATION_FACTOR * deviationNanos;
    return maxMissedHeartbeats * heartbeatIntervalNanos
        + Math.min(allowanceNanos, maxAllowanceNanos);
  }

  /** Smooths the round trip and its deviation as TCP does for its retransmission timeout. */
  private void updateRoundTrip(long sampleNanos) {
    if (roundTripNanos == 0) {
      roundTripNanos = sampleNanos;
      deviationNanos = sampleNanos / 2;
      return;
    }
    deviationNanos = (3 * deviationNanos + Math.abs(roundTripNanos - sampleNanos)) / 4;
    roundTripNanos = (7 * roundTripNanos + sampleNanos) / 8;
  }

  private boolean recentlyUsed(long nowNanos) {
    return nowNanos - lastUseNanos < busyTimeNanos;
  }
}
