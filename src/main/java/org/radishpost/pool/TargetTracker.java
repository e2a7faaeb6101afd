package org.radishpost.pool;

import java.util.Optional;
import org.radishpost.lib.Endpoint;
import org.radishpost.manifest.TargetSpec;

/**
 * Tracks the state of one target for the owner of its pool and limits the calls that it receives.
 *
 * <p>A warm target may receive one call more than it has slots, the extra call. The extra call
 * waits at the target and starts as soon as a slot becomes free. Not thread-safe.
 */
final class TargetTracker {
  private static final int CONSECUTIVE_FAST_RESPONSES_TO_WARM = 3;
  private static final int FULLY_WARM_PERCENT = 100;
  private static final int RECENT_WINDOW_SAMPLES = 8;
  private static final int BASELINE_WINDOW_SAMPLES = 64;
  private static final double MIN_SLOW_RATIO = 2.5;
  private static final double MAX_FAST_RATIO = 2.0;
  private static final long SLOW_TO_COLD_NANOS = 1_000_000_000L;
  private static final int CONSECUTIVE_SHEDS_TO_COLD = 2;
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final long EXTRA_CALL_PAUSE_NANOS = 10_000_000_000L;

  private final SendRateCounter sendRate = new SendRateCounter();
  private final MovingGeometricMean recentTime = new MovingGeometricMean(RECENT_WINDOW_SAMPLES);
  private final MovingGeometricMean baselineTime = new MovingGeometricMean(BASELINE_WINDOW_SAMPLES);
  private final OutlierDetector outlierDetector = new OutlierDetector();
  private TargetSpec spec;
  private ColdStartLimits coldStartLimits;
  private TargetState state = TargetState.COLD;
  private boolean configured = true;

  /**
   * Whether the ramp may end before its time if the target responds fast; false after a restart
   * that the target reported.
   */
  private boolean mayEndRampEarly = true;

  private boolean reportedDraining;
  private String incarnation = "";
  private int reportedWarmPercent = FULLY_WARM_PERCENT;
  private boolean hasReported;
  private int consecutiveFastResponses;
  private int consecutiveSheds;
  private boolean slow;
  private long slowSinceNanos;
  private boolean rampStarted;
  private long rampStartNanos;
  private long pausedUntilNanos;
  private long noExtraCallUntilNanos;
  private long lastResponseNanos;
  private int running;
  private InFlightCall extraCall;

  TargetTracker(TargetSpec spec, ColdStartLimits coldStartLimits, long nowNanos) {
    this.spec = spec;
    this.coldStartLimits = coldStartLimits;
    this.pausedUntilNanos = nowNanos;
    this.noExtraCallUntilNanos = nowNanos;
    this.lastResponseNanos = nowNanos;
  }

  Endpoint address() {
    return spec.address();
  }

  TargetState state() {
    return state;
  }

  OutlierDetector outlierDetector() {
    return outlierDetector;
  }

  int running() {
    return running;
  }

  boolean isConfigured() {
    return configured;
  }

  long lastResponseNanos() {
    return lastResponseNanos;
  }

  long recentServiceNanos() {
    return recentTime.nanos();
  }

  void configure(TargetSpec newSpec, ColdStartLimits newColdStartLimits, long nowNanos) {
    spec = newSpec;
    coldStartLimits = newColdStartLimits;
    if (!configured) {
      configured = true;
      becomeCold(true);
      lastResponseNanos = nowNanos;
    }
  }

  void removeFromConfiguration() {
    configured = false;
    state = TargetState.DRAINING;
  }

  /** Returns the current maximum number of concurrent calls to the target. */
  int concurrencyLimit(long nowNanos) {
    return switch (state) {
      case EJECTED, DRAINING -> 0;
      case COLD -> Math.min(connectionLimit(), coldStartLimits.maxCallsAt(0, spec.slots()));
      case RAMPING ->
          Math.min(
              connectionLimit(), coldStartLimits.maxCallsAt(rampProgress(nowNanos), spec.slots()));
      case WARM ->
          Math.min(
              connectionLimit(), slow ? coldStartLimits.maxCallsAt(0, spec.slots()) : spec.slots());
    };
  }

  /** Returns whether the target may receive a call now within its limits. */
  boolean isAvailable(long nowNanos, long poolServiceNanos) {
    return running < concurrencyLimit(nowNanos)
        && nowNanos - pausedUntilNanos >= 0
        && isWithinRateLimit(nowNanos, poolServiceNanos);
  }

  /** Returns whether the target may receive the extra call now. */
  boolean mayTakeExtraCall(long nowNanos, long poolServiceNanos) {
    return state == TargetState.WARM
        && running == spec.slots()
        && running < connectionLimit()
        && nowNanos - pausedUntilNanos >= 0
        && nowNanos - noExtraCallUntilNanos >= 0
        && recentTime.nanos() <= MAX_FAST_RATIO * poolServiceNanos;
  }

  void recordSent(InFlightCall call, long nowNanos) {
    if (running >= spec.slots()) {
      extraCall = call;
    }
    running++;
    sendRate.add(nowNanos);
  }

  /** Records that a call ended. The extra call, if there is one, takes its slot. */
  void recordEnded(InFlightCall call, long nowNanos) {
    running--;
    if (extraCall != null && extraCall != call) {
      extraCall.recordSlotAcquired(nowNanos);
    }
    extraCall = null;
  }

  /**
   * Records a response that is not a server error.
   *
   * @param serviceNanos the normalized service time, without the wait for a slot
   * @param poolTypicalNanos the typical service time of the pool, or 0 if unknown
   */
  void recordResponse(long serviceNanos, long poolTypicalNanos, long nowNanos) {
    consecutiveSheds = 0;
    recentTime.add(serviceNanos);
    long expectedNanos = Math.max(poolTypicalNanos, baselineTime.nanos());
    boolean fast = expectedNanos == 0 || serviceNanos <= MAX_FAST_RATIO * expectedNanos;
    consecutiveFastResponses = fast ? consecutiveFastResponses + 1 : 0;
    switch (state) {
      case COLD, RAMPING -> advanceRamp(fast, poolTypicalNanos, nowNanos);
      case WARM -> updateSlow(poolTypicalNanos, nowNanos);
      default -> consecutiveFastResponses = 0;
    }
    if (state == TargetState.WARM && !slow) {
      baselineTime.add(serviceNanos);
    }
  }

  /** Records a response by which the target shed the call. */
  void recordShed(long poolServiceNanos, long nowNanos) {
    consecutiveFastResponses = 0;
    boolean slotsExceeded = running >= spec.slots();
    if (slotsExceeded) {
      noExtraCallUntilNanos = nowNanos + EXTRA_CALL_PAUSE_NANOS;
    }
    pauseSends(poolServiceNanos, nowNanos);
    consecutiveSheds++;
    if (consecutiveSheds >= CONSECUTIVE_SHEDS_TO_COLD
        && (state == TargetState.WARM || rampStarted)) {
      consecutiveSheds = 0;
      becomeCold(true);
    }
  }

  /**
   * Records that a connection to the target could not be established or was lost. The target may
   * have restarted.
   */
  void recordConnectionLost() {
    switch (state) {
      case WARM -> {
        becomeCold(true);
        sendRate.reset();
      }
      case RAMPING -> becomeCold(true);
      default -> consecutiveFastResponses = 0;
    }
  }

  /**
   * Records a call that ended without a response after {@code elapsedNanos} and does not count as
   * an error. The time is added to the recent service times only if it is longer than their mean.
   */
  void recordMissingResponse(long elapsedNanos) {
    if (elapsedNanos > recentTime.nanos()) {
      recentTime.add(elapsedNanos);
    }
  }

  /** Ends an ejection or a ramp whose time is over. */
  void tick(long nowNanos) {
    if (state == TargetState.EJECTED && outlierDetector.isEjectionOver(nowNanos)) {
      readmit();
    }
    if (state == TargetState.RAMPING && rampProgress(nowNanos) >= 1) {
      baselineTime.copyFrom(recentTime);
      becomeWarm();
    }
  }

  /** Pauses new calls to the target for {@code pauseNanos}, unless they are paused for longer. */
  void pauseSends(long pauseNanos, long nowNanos) {
    long untilNanos = nowNanos + pauseNanos;
    if (untilNanos - pausedUntilNanos > 0) {
      pausedUntilNanos = untilNanos;
    }
  }

  /** Records the time of a response of the target and its load report, if any. */
  void recordReport(Optional<LoadReport> optionalReport, long nowNanos) {
    lastResponseNanos = nowNanos;
    if (optionalReport.isEmpty()) {
      return;
    }
    LoadReport report = optionalReport.get();
    reportedWarmPercent = report.warmPercent();
    reportedDraining = report.draining();
    if (!report.incarnation().equals(incarnation)) {
      boolean restarted = hasReported;
      incarnation = report.incarnation();
      hasReported = true;
      if (restarted) {
        recentTime.reset();
        becomeCold(false);
      }
    }
    updateDraining();
  }

  void eject() {
    state = TargetState.EJECTED;
  }

  /**
   * Returns the estimated rate, in calls per second, that the target can handle in its current
   * state.
   */
  double callsPerSecond(long nowNanos, long poolServiceNanos) {
    long serviceNanos = Math.max(1, Math.max(recentTime.nanos(), poolServiceNanos));
    double bySlots = (double) concurrencyLimit(nowNanos) * NANOS_PER_SECOND / serviceNanos;
    if (state == TargetState.WARM || bySlots == 0) {
      return bySlots;
    }
    return Math.min(
        bySlots,
        coldStartLimits.maxCallsPerSecondAt(
            rampProgress(nowNanos), spec.slots(), poolServiceNanos));
  }

  /**
   * Returns the cost of one more call: the number of calls including it, multiplied by the recent
   * service time. A target with a lower cost is preferred.
   */
  double loadCost() {
    return (double) (running + 1) * Math.max(1, recentTime.nanos());
  }

  /** Returns the number of idle connections to keep open to a warm target. */
  int desiredIdleConnections() {
    return Math.min(connectionLimit(), spec.slots() + 1);
  }

  private void readmit() {
    becomeCold(mayEndRampEarly);
  }

  private void updateDraining() {
    if (!configured || state == TargetState.EJECTED) {
      return;
    }
    if (reportedDraining) {
      state = TargetState.DRAINING;
    } else if (state == TargetState.DRAINING) {
      becomeCold(mayEndRampEarly);
    }
  }

  private void advanceRamp(boolean fast, long poolTypicalNanos, long nowNanos) {
    if (!rampStarted) {
      rampStarted = true;
      rampStartNanos = nowNanos;
      state = TargetState.RAMPING;
    }
    boolean confirmedWarm =
        mayEndRampEarly
            && reportedWarmPercent >= FULLY_WARM_PERCENT
            && (hasReported || baselineTime.isWindowFull());
    if (confirmedWarm && consecutiveFastResponses >= CONSECUTIVE_FAST_RESPONSES_TO_WARM) {
      becomeWarm();
      return;
    }
    if (rampProgress(nowNanos) >= 1) {
      baselineTime.copyFrom(recentTime);
      becomeWarm();
      return;
    }
    if (!fast) {
      long callsPerSecond =
          coldStartLimits.maxCallsPerSecondAt(
              rampProgress(nowNanos), spec.slots(), poolTypicalNanos);
      pauseSends(NANOS_PER_SECOND / callsPerSecond, nowNanos);
    }
  }

  private void becomeWarm() {
    state = TargetState.WARM;
    mayEndRampEarly = true;
    recentTime.copyFrom(baselineTime);
  }

  private void updateSlow(long poolTypicalNanos, long nowNanos) {
    if (!recentTime.isWindowFull() || !baselineTime.isWindowFull()) {
      return;
    }
    long expectedNanos = Math.max(baselineTime.nanos(), poolTypicalNanos);
    if (recentTime.nanos() <= MIN_SLOW_RATIO * expectedNanos) {
      slow = false;
      return;
    }
    if (!slow) {
      slow = true;
      slowSinceNanos = nowNanos;
    }
    boolean reportsWarm = hasReported && reportedWarmPercent >= FULLY_WARM_PERCENT;
    if (!reportsWarm || nowNanos - slowSinceNanos >= SLOW_TO_COLD_NANOS) {
      becomeCold(true);
      sendRate.reset();
    }
  }

  private void becomeCold(boolean earlyRampEndAllowed) {
    mayEndRampEarly = earlyRampEndAllowed;
    consecutiveFastResponses = 0;
    slow = false;
    rampStarted = false;
    state = configured ? TargetState.COLD : TargetState.DRAINING;
  }

  private double rampProgress(long nowNanos) {
    if (!rampStarted) {
      return 0;
    }
    double progressByTime =
        (double) (nowNanos - rampStartNanos) / Math.max(1, coldStartLimits.rampNanos());
    double progressByReport =
        Math.max((double) reportedWarmPercent / FULLY_WARM_PERCENT, progressByTime - 1);
    return Math.min(1, Math.min(progressByTime, progressByReport));
  }

  private boolean isWithinRateLimit(long nowNanos, long poolServiceNanos) {
    if (state == TargetState.WARM) {
      return true;
    }
    int maxCallsPerSecond =
        coldStartLimits.maxCallsPerSecondAt(rampProgress(nowNanos), spec.slots(), poolServiceNanos);
    return sendRate.count(nowNanos) < maxCallsPerSecond;
  }

  private int connectionLimit() {
    return spec.connections() / ColdStartLimits.MAX_CONCURRENT_OWNERS;
  }
}
