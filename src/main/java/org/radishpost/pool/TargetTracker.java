package org.radishpost.pool;

import java.util.Optional;
import org.radishpost.lib.Endpoint;
import org.radishpost.manifest.TargetSpec;

/** What the owner of a pool knows of one target, and what the target may take now. */
final class TargetTracker {
  private static final int TRUST_ANSWERS = 3;
  private static final int WARM_PERCENT = 100;
  private static final int RECENT_ANSWERS = 8;
  private static final int USUAL_ANSWERS = 64;
  private static final double SLOW_RATIO = 2.5;
  private static final double QUICK_RATIO = 2.0;
  private static final long SLOW_IS_COLD_NANOS = 1_000_000_000L;
  private static final int SHEDS_WHEN_COLD = 2;
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final long NO_AHEAD_NANOS = 10_000_000_000L;

  private final SendWindow sends = new SendWindow();
  private final TypicalTime recent = new TypicalTime(RECENT_ANSWERS);
  private final TypicalTime usual = new TypicalTime(USUAL_ANSWERS);
  private final Ejection ejection = new Ejection();
  private TargetSpec spec;
  private ColdLimits cold;
  private TargetState state = TargetState.COLD;
  private boolean wanted = true;
  private boolean trustsReports = true;
  private boolean reportsDraining;
  private String incarnation = "";
  private int warmPercent = WARM_PERCENT;
  private boolean told;
  private int goodInRow;
  private int shedsInRow;
  private boolean slow;
  private long slowSinceNanos;
  private boolean rampStarted;
  private long rampStartNanos;
  private long blockedUntilNanos;
  private long noAheadUntilNanos;
  private long lastToldNanos;
  private int running;
  private SentCall ahead;

  TargetTracker(TargetSpec spec, ColdLimits cold, long nowNanos) {
    this.spec = spec;
    this.cold = cold;
    this.blockedUntilNanos = nowNanos;
    this.noAheadUntilNanos = nowNanos;
    this.lastToldNanos = nowNanos;
  }

  Endpoint address() {
    return spec.address();
  }

  TargetState state() {
    return state;
  }

  Ejection ejection() {
    return ejection;
  }

  int running() {
    return running;
  }

  boolean wanted() {
    return wanted;
  }

  long lastToldNanos() {
    return lastToldNanos;
  }

  long recentNanos() {
    return recent.nanos();
  }

  void configure(TargetSpec newSpec, ColdLimits newCold, long nowNanos) {
    spec = newSpec;
    cold = newCold;
    if (!wanted) {
      wanted = true;
      becomeCold(true);
      lastToldNanos = nowNanos;
    }
  }

  void unwanted() {
    wanted = false;
    state = TargetState.DRAINING;
  }

  /** Returns the calls that the target may have at once. */
  int limit(long nowNanos) {
    return switch (state) {
      case EJECTED, DRAINING -> 0;
      case COLD -> Math.min(connections(), cold.callsAt(0, spec.slots()));
      case RAMPING -> Math.min(connections(), cold.callsAt(ramped(nowNanos), spec.slots()));
      case WARM -> Math.min(connections(), slow ? cold.callsAt(0, spec.slots()) : spec.slots());
    };
  }

  /** Tells whether the target may take a call now within its limit. */
  boolean mayTake(long nowNanos, long poolServiceNanos) {
    return running < limit(nowNanos)
        && nowNanos - blockedUntilNanos >= 0
        && withinRate(nowNanos, poolServiceNanos);
  }

  /** Tells whether the target may take the one call ahead now. */
  boolean mayTakeAhead(long nowNanos, long poolServiceNanos) {
    return state == TargetState.WARM
        && running == spec.slots()
        && running < connections()
        && nowNanos - blockedUntilNanos >= 0
        && nowNanos - noAheadUntilNanos >= 0
        && recent.nanos() <= QUICK_RATIO * poolServiceNanos;
  }

  void sent(SentCall call, long nowNanos) {
    if (running >= spec.slots()) {
      ahead = call;
    }
    running++;
    sends.add(nowNanos);
  }

  /** Takes note that a sent call ended, which gives its slot to the call ahead. */
  void ended(SentCall call, long nowNanos) {
    running--;
    if (ahead != null && ahead != call) {
      ahead.gotSlot(nowNanos);
    }
    ahead = null;
  }

  /**
   * Takes note of an answer without a server's error.
   *
   * @param serviceNanos the time that it took, without the wait for a slot
   * @param poolTypicalNanos the time that is typical for the pool, 0 when not known
   */
  void answered(long serviceNanos, long poolTypicalNanos, long nowNanos) {
    shedsInRow = 0;
    recent.add(serviceNanos);
    long expected = Math.max(poolTypicalNanos, usual.nanos());
    boolean good = expected == 0 || serviceNanos <= QUICK_RATIO * expected;
    goodInRow = good ? goodInRow + 1 : 0;
    switch (state) {
      case COLD, RAMPING -> ramp(good, poolTypicalNanos, nowNanos);
      case WARM -> checkSlow(poolTypicalNanos, nowNanos);
      default -> goodInRow = 0;
    }
    if (state == TargetState.WARM && !slow) {
      usual.add(serviceNanos);
    }
  }

  /** Takes note of an answer that says the call was shed. */
  void shed(long poolServiceNanos, long nowNanos) {
    goodInRow = 0;
    boolean overSlots = running >= spec.slots();
    if (overSlots) {
      noAheadUntilNanos = nowNanos + NO_AHEAD_NANOS;
    }
    block(poolServiceNanos, nowNanos);
    shedsInRow++;
    if (shedsInRow >= SHEDS_WHEN_COLD && (state == TargetState.WARM || rampStarted)) {
      shedsInRow = 0;
      becomeCold(true);
    }
  }

  /** Takes note that the target can't be reached or has died: it may have started anew. */
  void lost() {
    switch (state) {
      case WARM -> {
        becomeCold(true);
        sends.reset();
      }
      case RAMPING -> becomeCold(true);
      default -> goodInRow = 0;
    }
  }

  /** Takes note of a call that was cancelled after so long without an answer. */
  void cancelled(long elapsedNanos) {
    if (elapsedNanos > recent.nanos()) {
      recent.add(elapsedNanos);
    }
  }

  /** Lets time pass. */
  void tick(long nowNanos) {
    if (state == TargetState.EJECTED && ejection.over(nowNanos)) {
      readmit();
    }
    if (state == TargetState.RAMPING && ramped(nowNanos) >= 1) {
      usual.copy(recent);
      becomeWarm();
    }
  }

  /** Takes no new call for a while. */
  void block(long lengthNanos, long nowNanos) {
    long until = nowNanos + lengthNanos;
    if (until - blockedUntilNanos > 0) {
      blockedUntilNanos = until;
    }
  }

  /** Takes what the target said of itself. */
  void reported(Optional<LoadReport> maybe, long nowNanos) {
    lastToldNanos = nowNanos;
    if (maybe.isEmpty()) {
      return;
    }
    LoadReport report = maybe.get();
    warmPercent = report.warmPercent();
    reportsDraining = report.draining();
    if (!report.incarnation().equals(incarnation)) {
      boolean restarted = told;
      incarnation = report.incarnation();
      told = true;
      if (restarted) {
        recent.reset();
        becomeCold(false);
      }
    }
    followDraining();
  }

  void eject() {
    state = TargetState.EJECTED;
  }

  /** Returns the calls that the target can take in a second as it is now. */
  double callsPerSecond(long nowNanos, long poolServiceNanos) {
    long serviceNanos = Math.max(1, Math.max(recent.nanos(), poolServiceNanos));
    double bySlots = (double) limit(nowNanos) * SECOND_NANOS / serviceNanos;
    if (state == TargetState.WARM || bySlots == 0) {
      return bySlots;
    }
    return Math.min(bySlots, cold.perSecondAt(ramped(nowNanos), spec.slots(), poolServiceNanos));
  }

  /** Returns a number that is smaller for a target that is less busy, then for a quicker one. */
  double loadCost() {
    return (double) (running + 1) * Math.max(1, recent.nanos());
  }

  /** Returns the idle connections that a warm target should have. */
  int connectionsAhead() {
    return Math.min(connections(), spec.slots() + 1);
  }

  private void readmit() {
    becomeCold(trustsReports);
  }

  private void followDraining() {
    if (!wanted || state == TargetState.EJECTED) {
      return;
    }
    if (reportsDraining) {
      state = TargetState.DRAINING;
    } else if (state == TargetState.DRAINING) {
      becomeCold(trustsReports);
    }
  }

  private void ramp(boolean good, long poolTypicalNanos, long nowNanos) {
    if (!rampStarted) {
      rampStarted = true;
      rampStartNanos = nowNanos;
      state = TargetState.RAMPING;
    }
    boolean proved = trustsReports && warmPercent >= WARM_PERCENT && (told || usual.settled());
    if (proved && goodInRow >= TRUST_ANSWERS) {
      becomeWarm();
      return;
    }
    if (ramped(nowNanos) >= 1) {
      usual.copy(recent);
      becomeWarm();
      return;
    }
    if (!good) {
      long perSecond = cold.perSecondAt(ramped(nowNanos), spec.slots(), poolTypicalNanos);
      block(SECOND_NANOS / perSecond, nowNanos);
    }
  }

  private void becomeWarm() {
    state = TargetState.WARM;
    trustsReports = true;
    recent.copy(usual);
  }

  private void checkSlow(long poolTypicalNanos, long nowNanos) {
    if (!recent.settled() || !usual.settled()) {
      return;
    }
    long expected = Math.max(usual.nanos(), poolTypicalNanos);
    if (recent.nanos() <= SLOW_RATIO * expected) {
      slow = false;
      return;
    }
    if (!slow) {
      slow = true;
      slowSinceNanos = nowNanos;
    }
    boolean saysWarm = told && warmPercent >= WARM_PERCENT;
    if (!saysWarm || nowNanos - slowSinceNanos >= SLOW_IS_COLD_NANOS) {
      becomeCold(true);
      sends.reset();
    }
  }

  private void becomeCold(boolean trust) {
    trustsReports = trust;
    goodInRow = 0;
    slow = false;
    rampStarted = false;
    state = wanted ? TargetState.COLD : TargetState.DRAINING;
  }

  private double ramped(long nowNanos) {
    if (!rampStarted) {
      return 0;
    }
    double byTime = (double) (nowNanos - rampStartNanos) / Math.max(1, cold.rampNanos());
    double byReport = Math.max((double) warmPercent / WARM_PERCENT, byTime - 1);
    return Math.min(1, Math.min(byTime, byReport));
  }

  private boolean withinRate(long nowNanos, long poolServiceNanos) {
    if (state == TargetState.WARM) {
      return true;
    }
    int perSecond = cold.perSecondAt(ramped(nowNanos), spec.slots(), poolServiceNanos);
    return sends.count(nowNanos) < perSecond;
  }

  private int connections() {
    return spec.connections() / ColdLimits.OWNERS;
  }
}
