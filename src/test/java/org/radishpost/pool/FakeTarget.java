package org.radishpost.pool;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.radishpost.lib.Endpoint;

/**
 * A simulated target in virtual time. It knows its real warm-up progress and records the calls and
 * probes that it receives.
 */
final class FakeTarget {
  static final long SERVICE_NANOS = 5 * PoolFixture.NANOS_PER_MILLI;

  private static final long WARM_UP_NANOS = PoolFixture.COLD_START.ramp().toNanos();
  private static final int COLD_SLOWDOWN = 3;

  final Endpoint address;
  final List<ReceivedCall> running = new ArrayList<>();
  final List<Long> probeTimesNanos = new ArrayList<>();
  Mode mode = Mode.HEALTHY;
  boolean draining;
  int receivedCalls;
  private final int slots;
  private final ArrayDeque<Long> recentCallTimes = new ArrayDeque<>();
  private int incarnation = 1;
  private long startedNanos = -2 * WARM_UP_NANOS;

  FakeTarget(Endpoint address, int slots) {
    this.address = address;
    this.slots = slots;
  }

  /** How the target responds to calls. */
  enum Mode {
    HEALTHY,
    SLOW,
    ERRORS,
    REFUSES_CONNECTIONS,
    SHEDS,
    CRASHES
  }

  /** A call that the target is running. */
  record ReceivedCall(int owner, PoolAction.Send send) {}

  void restart(long nowNanos) {
    incarnation++;
    startedNanos = nowNanos;
    running.clear();
    recentCallTimes.clear();
  }

  /** Receives a call and returns a description of the exceeded cold-start limit, if any. */
  Optional<String> receive(ReceivedCall call, long nowNanos) {
    receivedCalls++;
    running.add(call);
    recentCallTimes.add(nowNanos);
    while (nowNanos - recentCallTimes.peek() >= PoolFixture.NANOS_PER_SECOND) {
      recentCallTimes.remove();
    }
    double warmUpProgress = warmUpProgress(nowNanos);
    if (warmUpProgress >= 1) {
      return Optional.empty();
    }
    ColdStartLimits limits = ColdStartLimits.of(PoolFixture.COLD_START, 1);
    int maxCalls = limits.maxCallsAt(warmUpProgress, slots);
    int maxCallsPerSecond = limits.maxCallsPerSecondAt(warmUpProgress, slots, SERVICE_NANOS);
    if (running.size() <= maxCalls && recentCallTimes.size() <= maxCallsPerSecond) {
      return Optional.empty();
    }
    return Optional.of(
        "at %d ms, warm-up %.2f: %d of %d concurrent calls, %d of %d calls per second"
            .formatted(
                nowNanos / PoolFixture.NANOS_PER_MILLI,
                warmUpProgress,
                running.size(),
                maxCalls,
                recentCallTimes.size(),
                maxCallsPerSecond));
  }

  long serviceNanos(long nowNanos) {
    return switch (mode) {
      case ERRORS, REFUSES_CONNECTIONS, SHEDS, CRASHES -> PoolFixture.NANOS_PER_MILLI / 10;
      case SLOW -> 4 * SERVICE_NANOS;
      case HEALTHY -> warmUpProgress(nowNanos) < 1 ? COLD_SLOWDOWN * SERVICE_NANOS : SERVICE_NANOS;
    };
  }

  TargetOutcome outcome(long nowNanos, long elapsedNanos) {
    Optional<LoadReport> report = Optional.of(report(nowNanos));
    return switch (mode) {
      case ERRORS -> new TargetOutcome.Responded(500, report, elapsedNanos);
      case REFUSES_CONNECTIONS -> new TargetOutcome.NotConnected();
      case SHEDS -> new TargetOutcome.Shed(report);
      case CRASHES -> new TargetOutcome.ConnectionLost(running.isEmpty());
      case HEALTHY, SLOW -> new TargetOutcome.Responded(200, report, elapsedNanos);
    };
  }

  LoadReport report(long nowNanos) {
    int percent = (int) (100 * warmUpProgress(nowNanos));
    return new LoadReport(running.size(), slots, percent, "i" + incarnation, draining);
  }

  private double warmUpProgress(long nowNanos) {
    return Math.min(1, (double) (nowNanos - startedNanos) / WARM_UP_NANOS);
  }
}
