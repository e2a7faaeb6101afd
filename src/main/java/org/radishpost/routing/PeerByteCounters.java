package org.radishpost.routing;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.radishpost.lib.Distance;
import org.radishpost.lib.Place;

/** Counts the bytes exchanged between this VM and its peers, by distance; thread-safe. */
public final class PeerByteCounters {
  private final Place localPlace;
  private final Map<Distance, Counters> countersByDistance = new EnumMap<>(Distance.class);

  /** Creates counters, all zero, for a VM at the given place. */
  public PeerByteCounters(Place localPlace) {
    this.localPlace = localPlace;
    Arrays.stream(Distance.values())
        .forEach(distance -> countersByDistance.put(distance, new Counters()));
  }

  /** Counts bytes of calls and responses sent to a peer. */
  public void callSent(Place peer, long bytes) {
    countersFor(peer).callsSent.add(bytes);
  }

  /** Counts bytes of calls and responses received from a peer. */
  public void callReceived(Place peer, long bytes) {
    countersFor(peer).callsReceived.add(bytes);
  }

  /** Counts bytes of all other messages sent to a peer. */
  public void controlSent(Place peer, long bytes) {
    countersFor(peer).controlSent.add(bytes);
  }

  /** Counts bytes of all other messages received from a peer. */
  public void controlReceived(Place peer, long bytes) {
    countersFor(peer).controlReceived.add(bytes);
  }

  /** Returns the current counts, one element per distance, nearest first. */
  public List<LinkBytes> snapshot() {
    return countersByDistance.entrySet().stream()
        .map(entry -> entry.getValue().snapshot(entry.getKey()))
        .toList();
  }

  private Counters countersFor(Place peer) {
    return countersByDistance.get(localPlace.distanceTo(peer));
  }

  private static final class Counters {
    private final LongAdder callsSent = new LongAdder();
    private final LongAdder callsReceived = new LongAdder();
    private final LongAdder controlSent = new LongAdder();
    private final LongAdder controlReceived = new LongAdder();

    LinkBytes snapshot(Distance distance) {
      return new LinkBytes(
          distance, callsSent.sum(), callsReceived.sum(), controlSent.sum(), controlReceived.sum());
    }
  }
}
