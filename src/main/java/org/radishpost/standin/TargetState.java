package org.radishpost.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.radishpost.http.LoadReportHeader;
import org.radishpost.pool.LoadReport;
import reactor.core.scheduler.Scheduler;

/** What one target stand-in is and does, without its sockets; thread-safe. */
final class TargetState {
  private static final int MAX_PAST_REPORTS = 10_000;

  private final TargetOptions options;
  private final Scheduler clock;
  private final SplittableRandom random;
  private final Warmth warmth;
  private final SlotQueue slots;
  private final TargetCounters counters = new TargetCounters();
  private final Deque<PastReport> past = new ArrayDeque<>();
  private TargetControl control = TargetControl.NONE;
  private int cutAnswers;
  private String incarnation;

  TargetState(TargetOptions options, Scheduler clock) {
    this.options = options;
    this.clock = clock;
    this.random = new SplittableRandom(options.seed());
    this.warmth = new Warmth(options);
    this.slots = new SlotQueue(options.slots(), options.queue());
    this.incarnation = newIncarnation();
    warmth.start(nowMillis());
  }

  SlotQueue slots() {
    return slots;
  }

  TargetCounters counters() {
    return counters;
  }

  TargetOptions options() {
    return options;
  }

  synchronized TargetControl control() {
    return control;
  }

  /** Sets what is wrong from now on. */
  synchronized void control(TargetControl wanted) {
    control = wanted;
    cutAnswers = wanted.cutAnswers();
    if (wanted.coldAgain()) {
      warmth.cool(nowMillis());
    }
  }

  /** Tells whether the next answer is to be cut, and counts it. */
  synchronized boolean takeCut() {
    if (cutAnswers == 0) {
      return false;
    }
    cutAnswers--;
    return true;
  }

  /** Becomes a new, cold incarnation. */
  synchronized void crash(boolean fromCold) {
    counters.crashes.incrementAndGet();
    if (fromCold) {
      counters.coldCrashes.incrementAndGet();
    }
    incarnation = newIncarnation();
    warmth.cool(nowMillis());
    slots.clear();
  }

  /** Tells whether one more call would be more than the target bears while it is cold. */
  boolean wouldFallOver() {
    int load = slots.running() + slots.waiting();
    int percent = warmth.percent(nowMillis());
    return percent < Warmth.FULL_PERCENT && load + 1 > warmth.bears(nowMillis());
  }

  /** Returns how long the next call runs. */
  synchronized Duration serviceTime() {
    double meanNanos = options.meanService().toNanos();
    double sigma = options.sigma();
    double spread = Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    double slow = Math.max(1, control.slowFactor()) * warmth.factor(nowMillis());
    return Duration.ofNanos((long) (meanNanos * spread * slow));
  }

  /** Counts a call that has ended. */
  void ran() {
    warmth.ran();
  }

  synchronized String incarnation() {
    return incarnation;
  }

  /** Returns the load report that the target gives now, late or misleading as it may be. */
  synchronized String report() {
    String now = LoadReportHeader.format(trueReport());
    past.add(new PastReport(nowMillis(), now));
    if (past.size() > MAX_PAST_REPORTS) {
      past.removeFirst();
    }
    if (control.misleadingReport() != null) {
      return control.misleadingReport();
    }
    long horizon = nowMillis() - control.reportDelayMillis();
    while (past.size() > 1 && past.peekFirst().atMillis() < horizon) {
      past.removeFirst();
    }
    return control.reportDelayMillis() == 0 ? now : past.peekFirst().text();
  }

  private LoadReport trueReport() {
    return new LoadReport(
        slots.running() + slots.waiting(),
        options.slots(),
        warmth.percent(nowMillis()),
        incarnation,
        control.draining());
  }

  private String newIncarnation() {
    return Long.toHexString(random.nextLong());
  }

  private long nowMillis() {
    return clock.now(TimeUnit.MILLISECONDS);
  }

  private record PastReport(long atMillis, String text) {}
}
