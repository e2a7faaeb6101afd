package org.radishpost.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.radishpost.lib.Endpoint;

/** A target in virtual time that knows the truth about its warmth and what it was given. */
final class FakeTarget {
  static final long SERVICE_NANOS = 5 * PoolFixture.MILLI;

  private static final long RAMP_NANOS = PoolFixture.COLD.ramp().toNanos();
  private static final int COLD_FACTOR = 3;

  final Endpoint address;
  final List<SentTo> running = new ArrayList<>();
  final List<Long> probes = new ArrayList<>();
  Mode mode = Mode.GOOD;
  boolean draining;
  int calls;
  private final int slots;
  private final ArrayDeque<Long> lastSecond = new ArrayDeque<>();
  private int incarnation = 1;
  private long startedNanos = -2 * RAMP_NANOS;

  FakeTarget(Endpoint address, int slots) {
    this.address = address;
    this.slots = slots;
  }

  /** How it answers. */
  enum Mode {
    GOOD,
    SLOW,
    ERRORS,
    REFUSES,
    SHEDS,
    CRASHES
  }

  /** A call that it runs. */
  record SentTo(int owner, PoolAction.Send send) {}

  void restart(long nowNanos) {
    incarnation++;
    startedNanos = nowNanos;
    running.clear();
    lastSecond.clear();
  }

  /** Takes a call; tells what it cannot bear, empty when all is well. */
  Optional<String> take(SentTo call, long nowNanos) {
    calls++;
    running.add(call);
    lastSecond.add(nowNanos);
    while (nowNanos - lastSecond.peek() >= PoolFixture.SECOND) {
      lastSecond.remove();
    }
    double warm = warmth(nowNanos);
    if (warm >= 1) {
      return Optional.empty();
    }
    ColdLimits all = ColdLimits.of(PoolFixture.COLD, 1);
    int callsBorne = all.callsAt(warm, slots);
    int rateBorne = all.perSecondAt(warm, slots, SERVICE_NANOS);
    if (running.size() <= callsBorne && lastSecond.size() <= rateBorne) {
      return Optional.empty();
    }
    return Optional.of(
        "at %d ms, %.2f warm: %d of %d calls, %d of %d a second"
            .formatted(
                nowNanos / PoolFixture.MILLI,
                warm,
                running.size(),
                callsBorne,
                lastSecond.size(),
                rateBorne));
  }

  long takesNanos(long nowNanos) {
    return switch (mode) {
      case ERRORS, REFUSES, SHEDS, CRASHES -> PoolFixture.MILLI / 10;
      case SLOW -> 4 * SERVICE_NANOS;
      case GOOD -> warmth(nowNanos) < 1 ? COLD_FACTOR * SERVICE_NANOS : SERVICE_NANOS;
    };
  }

  TargetOutcome outcome(long nowNanos, long tookNanos) {
    Optional<LoadReport> report = Optional.of(report(nowNanos));
    return switch (mode) {
      case ERRORS -> new TargetOutcome.Answered(500, report, tookNanos);
      case REFUSES -> new TargetOutcome.NotConnected();
      case SHEDS -> new TargetOutcome.Shed(report);
      case CRASHES -> new TargetOutcome.ConnectionDied(running.isEmpty());
      case GOOD, SLOW -> new TargetOutcome.Answered(200, report, tookNanos);
    };
  }

  LoadReport report(long nowNanos) {
    int percent = (int) (100 * warmth(nowNanos));
    return new LoadReport(running.size(), slots, percent, "i" + incarnation, draining);
  }

  private double warmth(long nowNanos) {
    return Math.min(1, (double) (nowNanos - startedNanos) / RAMP_NANOS);
  }
}
