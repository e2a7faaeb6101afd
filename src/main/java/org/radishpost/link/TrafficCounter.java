package org.radishpost.link;

import java.util.concurrent.atomic.LongAdder;
import org.radishpost.lib.VmId;

/** Counts the frames and bytes of the links to one peer; thread-safe. */
final class TrafficCounter {
  private final LongAdder bytesIn = new LongAdder();
  private final LongAdder bytesOut = new LongAdder();
  private final LongAdder framesIn = new LongAdder();
  private final LongAdder framesOut = new LongAdder();
  private final LongAdder unsupportedFrames = new LongAdder();

  void recordReceived(int bytes) {
    bytesIn.add(bytes);
    framesIn.increment();
  }

  void recordSent(int bytes) {
    bytesOut.add(bytes);
    framesOut.increment();
  }

  void recordUnsupported() {
    unsupportedFrames.increment();
  }

  PeerTraffic snapshot(VmId peer, long roundTripNanos) {
    return new PeerTraffic(
        peer,
        bytesIn.sum(),
        bytesOut.sum(),
        framesIn.sum(),
        framesOut.sum(),
        unsupportedFrames.sum(),
        roundTripNanos);
  }
}
