package org.radishpost.link;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * Detects from heartbeats whether a link works in both directions; thread-safe, driven by ticks.
 *
 * <p>A link times out when a heartbeat of this end is not echoed in time, whatever else is
 * received: a link that fails in one direction times out at both ends. The age of a heartbeat does
 * not include time in which this process was paused: each tick adds at most two heartbeat intervals
 * to it.
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

  /** The action after a tick. */
  enum TickResult {
    /** No action. */
    NONE,
    /** Send a heartbeat. */
    HEARTBEAT_DUE,
    /** Close the link: a heartbeat was not echoed in time. */
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

  /** Records that a call or a request uses the link. */
  synchronized void recordUse(long nowNanos) {
    lastUseNanos = nowNanos;
  }

  /** Returns the time of the last use by a call or a request. */
  synchronized long lastUseNanos() {
    return lastUseNanos;
  }

  /**
   * Returns what is due; called once per tick. A changed configuration version is sent without
   * waiting for the idle interval.
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

  /** Returns the next heartbeat to send, which the peer has to echo. */
  synchronized HeartbeatBody nextHeartbeat(long nowNanos, long configVersion) {
    lastSentSequence++;
    echoPending = false;
    lastSentConfigVersion = configVersion;
    unacknowledged.addLast(new SentHeartbeat(lastSentSequence, nowNanos, awakeNanos));
    lastHeartbeatNanos = nowNanos;
    return new HeartbeatBody(lastSentSequence, lastReceivedSequence, true, configVersion);
  }

  /**
   * Records a heartbeat of the peer.
   *
   * @return the echo to send; empty if none is requested or the next regular heartbeat carries it
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

  /** Returns the smoothed round-trip time from a heartbeat to its echo, 0 if none was measured. */
  synchronized long roundTripNanos() {
    return roundTripNanos;
  }

  /**
   * Returns how long a heartbeat may remain without an echo; longer if the round-trip time is long
   * or varies.
   */
  synchronized long timeoutNanos() {
    long allowanceNanos =
        roundTripNanos == 0
            ? maxAllowanceNanos
            : 2 * roundTripNanos + DEVIATION_FACTOR * deviationNanos;
    return maxMissedHeartbeats * heartbeatIntervalNanos
        + Math.min(allowanceNanos, maxAllowanceNanos);
  }

  /**
   * Smooths the round-trip time and its deviation like the retransmission timeout of TCP (RFC
   * 6298).
   */
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
