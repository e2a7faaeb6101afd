package org.radishpost.pool;

import java.util.Optional;
import org.radishpost.lib.Endpoint;
import org.radishpost.manifest.TargetSpec;

/** What the owner of a pool knows of one target, and what the target may take now. */
final class TargetTracker {
  private static final int FAST_RESPONSES_FOR_WARM = 3;
  private static final int FULLY_WARM_PERCENT = 100;
  private static final int RECENT_WINDOW_SAMPLES = 8;
  private static final int BASELINE_WINDOW_SAMPLES = 64;
  private static final double MAX_NORMAL_RATIO = 2.5;
  private static final double MAX_FAST_RATIO = 2.0;
  private static final long MAX_SLOW_NANOS = 1_000_000_000L;
  private static final int SHEDS_FOR_COLD = 2;
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
  private long lastReportNanos;
  private int running;
  private InFlightCall extraCall;

  TargetTracker(TargetSpec spec, ColdStartLimits coldStartLimits, long nowNanos) {
    this.spec = spec;
    this.coldStartLimits = coldStartLimits;
    this.pausedUntilNanos = nowNanos;
    this.noExtraCallUntilNanos = nowNanos;
    this.lastReportNanos = nowNanos;
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

  long lastReportNanos() {
    return lastReportNanos;
  }

  long recentNanos() {
    return recentTime.nanos();
  }

  void configure(TargetSpec newSpec, ColdStartLimits newColdStartLimits, long nowNanos) {
    spec = newSpec;
    coldStartLimits = newColdStartLimits;
    if (!configured) {
      configured = true;
      becomeCold(true);
      lastReportNanos = nowNanos;
    }
  }

  void removeFromConfiguration() {
    configured = false;
    state = TargetState.DRAINING;
  }

  /** Returns the calls that the target may have at once. */
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

  /** Tells whether the target may take a call now within its limit. */
  boolean isAvailable(long nowNanos, long poolServiceNanos) {
    return running < concurrencyLimit(nowNanos)
        && nowNanos - pausedUntilNanos >= 0
        && isWithinRateLimit(nowNanos, poolServiceNanos);
  }

  /** Tells whether the target may take the one call ahead now. */
  boolean mayTakeExtraCall(long nowNanos, long poolServiceNanos) {
    return state == TargetState.WARM
        && running == spec.slots()
        && running < connectionLimit()
        && nowNanos - pausedUntilNanos >= 0
        && nowNanos - noExtraCallUntilNanos >= 0
        && recentTime.nanos() <= MAX_FAST_RATIO * poolServiceNanos;
  }

  void callSent(InFlightCall call, long nowNanos) {
    if (running >= spec.slots()) {
      extraCall = call;
    }
    running++;
    sendRate.add(nowNanos);
  }

  /** Takes note that a sent call ended, which gives its slot to the call ahead. */
  void callEnded(InFlightCall call, long nowNanos) {
    running--;
    if (extraCall != null && extraCall != call) {
      extraCall.slotAcquired(nowNanos);
    }
    extraCall = null;
  }

  /**
   * Takes note of an answer without a server's error.
   *
   * @param serviceNanos the time that it took, without the wait for a slot
   * @param poolTypicalNanos the time that is typical for the pool, 0 when not known
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

  /** Takes note of an answer that says the call was shed. */
  void recordShed(long poolServiceNanos, long nowNanos) {
    consecutiveFastResponses = 0;
    boolean slotsExceeded = running >= spec.slots();
    if (slotsExceeded) {
      noExtraCallUntilNanos = nowNanos + EXTRA_CALL_PAUSE_NANOS;
    }
    pauseSends(poolServiceNanos, nowNanos);
    consecutiveSheds++;
    if (consecutiveSheds >= SHEDS_FOR_COLD && (state == TargetState.WARM || rampStarted)) {
      consecutiveSheds = 0;
      becomeCold(true);
    }
  }

  /** Takes note that the target can't be reached or has died: it may have started anew. */
  void connectionLost() {
    switch (state) {
      case WARM -> {
        becomeCold(true);
        sendRate.reset();
      }
      case RAMPING -> becomeCold(true);
      default -> consecutiveFastResponses = 0;
    }
  }

  /** Takes note of a call that was cancelled after so long without an answer. */
  void recordCancelled(long elapsedNanos) {
    if (elapsedNanos > recentTime.nanos()) {
      recentTime.add(elapsedNanos);
    }
  }

  /** Lets time pass. */
  void tick(long nowNanos) {
    if (state == TargetState.EJECTED && outlierDetector.isEjectionOver(nowNanos)) {
      readmit();
    }
    if (state == TargetState.RAMPING && rampProgress(nowNanos) >= 1) {
      baselineTime.copyFrom(recentTime);
      becomeWarm();
    }
  }

  /** Takes no new call for a while. */
  void pauseSends(long pauseNanos, long nowNanos) {
    long untilNanos = nowNanos + pauseNanos;
    if (untilNanos - pausedUntilNanos > 0) {
      pausedUntilNanos = untilNanos;
    }
  }

  /** Takes what the target said of itself. */
  void recordReport(Optional<LoadReport> optionalReport, long nowNanos) {
    lastReportNanos = nowNanos;
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

  /** Returns the calls that the target can take in a second as it is now. */
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

  /** Returns a number that is smaller for a target that is less busy, then for a quicker one. */
  double loadCost() {
    return (double) (running + 1) * Math.max(1, recentTime.nanos());
  }

  /** Returns the idle connections that a warm target should have. */
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
    if (confirmedWarm && consecutiveFastResponses >= FAST_RESPONSES_FOR_WARM) {
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
    if (recentTime.nanos() <= MAX_NORMAL_RATIO * expectedNanos) {
      slow = false;
      return;
    }
    if (!slow) {
      slow = true;
      slowSinceNanos = nowNanos;
    }
    boolean reportsWarm = hasReported && reportedWarmPercent >= FULLY_WARM_PERCENT;
    if (!reportsWarm || nowNanos - slowSinceNanos >= MAX_SLOW_NANOS) {
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
