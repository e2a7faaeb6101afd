package org.radishpost.routing;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.radishpost.lib.Distance;
import org.radishpost.lib.Place;

/** Counts the bytes between this VM and others by distance; thread-safe. */
public final class ByteLedger {
  private final Place own;
  private final Map<Distance, Counters> counters = new EnumMap<>(Distance.class);

  /** Creates one for the VM at the place. */
  public ByteLedger(Place own) {
    this.own = own;
    Arrays.stream(Distance.values()).forEach(each -> counters.put(each, new Counters()));
  }

  /** Counts bytes of calls and answers sent to a VM. */
  public void callSent(Place peer, long bytes) {
    at(peer).callsSent.add(bytes);
  }

  /** Counts bytes of calls and answers received from a VM. */
  public void callReceived(Place peer, long bytes) {
    at(peer).callsReceived.add(bytes);
  }

  /** Counts bytes of anything but calls sent to a VM. */
  public void controlSent(Place peer, long bytes) {
    at(peer).controlSent.add(bytes);
  }

  /** Counts bytes of anything but calls received from a VM. */
  public void controlReceived(Place peer, long bytes) {
    at(peer).controlReceived.add(bytes);
  }

  /** Returns the counts, one entry for each distance, nearest first. */
  public List<LinkBytes> snapshot() {
    return counters.entrySet().stream()
        .map(each -> each.getValue().snapshot(each.getKey()))
        .toList();
  }

  private Counters at(Place peer) {
    return counters.get(own.distanceTo(peer));
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
