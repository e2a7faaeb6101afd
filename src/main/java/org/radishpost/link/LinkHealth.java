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
  private static final int DEVIATIONS = 4;
  private static final int MAX_TICK_GAP_BEATS = 2;

  private final long beatNanos;
  private final long idleBeatNanos;
  private final long busyNanos;
  private final int missedBeats;
  private final long mostAllowanceNanos;
  private final Deque<Sent> unanswered = new ArrayDeque<>();
  private long sequence;
  private long heard;
  private boolean echoOwed;
  private long toldVersion;
  private long awakeNanos;
  private long lastBeatNanos;
  private long lastTickNanos;
  private long lastUseNanos;
  private long roundTripNanos;
  private long deviationNanos;

  private record Sent(long sequence, long atNanos, long awakeAtNanos) {}

  /** What a tick found. */
  enum Verdict {
    /** Nothing is to be done. */
    QUIET,
    /** A beat is due. */
    BEAT,
    /** The link is silent. */
    SILENT
  }

  LinkHealth(LinkOptions options, long nowNanos) {
    beatNanos = options.beatInterval().toNanos();
    idleBeatNanos = options.idleBeatInterval().toNanos();
    busyNanos = options.busyTime().toNanos();
    mostAllowanceNanos = options.connectLimit().toNanos();
    missedBeats = options.missedBeats();
    lastTickNanos = nowNanos;
    lastUseNanos = nowNanos;
    lastBeatNanos = nowNanos - idleBeatNanos;
  }

  /** Notes that a call depends on the link. */
  synchronized void used(long nowNanos) {
    lastUseNanos = nowNanos;
  }

  /** Returns when a call last depended on the link. */
  synchronized long lastUseNanos() {
    return lastUseNanos;
  }

  /**
   * Decides what is due, once for each tick; a new version of the configuration goes out at once.
   */
  synchronized Verdict tick(long nowNanos, long configVersion) {
    awakeNanos += Math.min(nowNanos - lastTickNanos, MAX_TICK_GAP_BEATS * beatNanos);
    lastTickNanos = nowNanos;
    Sent oldest = unanswered.peekFirst();
    if (oldest != null && awakeNanos - oldest.awakeAtNanos > silenceNanos()) {
      return Verdict.SILENT;
    }
    boolean soon = busy(nowNanos) || echoOwed || configVersion != toldVersion;
    long interval = soon ? beatNanos : idleBeatNanos;
    return nowNanos - lastBeatNanos >= interval - beatNanos / 2 ? Verdict.BEAT : Verdict.QUIET;
  }

  /** Returns the next beat to be sent, which the peer has to echo. */
  synchronized Beat next(long nowNanos, long configVersion) {
    sequence++;
    echoOwed = false;
    toldVersion = configVersion;
    unanswered.addLast(new Sent(sequence, nowNanos, awakeNanos));
    lastBeatNanos = nowNanos;
    return new Beat(sequence, heard, true, configVersion);
  }

  /**
   * Notes a beat of the peer.
   *
   * @return the beat that echoes it, unless one is due soon anyway
   */
  synchronized Optional<Beat> received(Beat beat, long nowNanos, long configVersion) {
    heard = beat.sequence();
    while (!unanswered.isEmpty() && unanswered.peekFirst().sequence <= beat.echo()) {
      Sent answered = unanswered.removeFirst();
      long sample = nowNanos - answered.atNanos;
      smooth(sample);
    }
    echoOwed |= beat.prompt() && busy(nowNanos);
    if (!beat.prompt() || echoOwed) {
      return Optional.empty();
    }
    return Optional.of(new Beat(sequence, heard, false, configVersion));
  }

  /** Returns the smoothed time from a beat to its echo. */
  synchronized long roundTripNanos() {
    return roundTripNanos;
  }

  /** Returns how long a beat may stay without an echo: longer where echoes are slow or uneven. */
  synchronized long silenceNanos() {
    long allowance =
        roundTripNanos == 0 ? mostAllowanceNanos : 2 * roundTripNanos + DEVIATIONS * deviationNanos;
    return missedBeats * beatNanos + Math.min(allowance, mostAllowanceNanos);
  }

  /** Smooths the round trip and its deviation as TCP does for its retransmission timeout. */
  private void smooth(long sampleNanos) {
    if (roundTripNanos == 0) {
      roundTripNanos = sampleNanos;
      deviationNanos = sampleNanos / 2;
      return;
    }
    deviationNanos = (3 * deviationNanos + Math.abs(roundTripNanos - sampleNanos)) / 4;
    roundTripNanos = (7 * roundTripNanos + sampleNanos) / 8;
  }

  private boolean busy(long nowNanos) {
    return nowNanos - lastUseNanos < busyNanos;
  }
}
