package org.radishpost.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.radishpost.http.LoadReportHeader;
import org.radishpost.pool.LoadReport;
import reactor.core.scheduler.Scheduler;

/** The state of one target stand-in, independent of its sockets. Thread-safe. */
final class TargetState {
  private static final int MAX_PAST_REPORTS = 10_000;

  private final TargetOptions options;
  private final Scheduler clock;
  private final SplittableRandom random;
  private final WarmUp warmUp;
  private final SlotQueue slots;
  private final TargetCounters counters = new TargetCounters();
  private final Deque<PastReport> pastReports = new ArrayDeque<>();
  private TargetControl control = TargetControl.NONE;
  private int remainingTruncations;
  private String incarnation;

  TargetState(TargetOptions options, Scheduler clock) {
    this.options = options;
    this.clock = clock;
    this.random = new SplittableRandom(options.seed());
    this.warmUp = new WarmUp(options);
    this.slots = new SlotQueue(options.slots(), options.maxQueued());
    this.incarnation = newIncarnation();
    warmUp.start(nowMillis());
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

  /** Sets the faults that apply to all following calls. */
  synchronized void setControl(TargetControl newControl) {
    control = newControl;
    remainingTruncations = newControl.cutAnswers();
    if (newControl.coldAgain()) {
      warmUp.resetToCold(nowMillis());
    }
  }

  /** Returns whether to truncate the next response, and decrements the remaining count. */
  synchronized boolean takeTruncation() {
    if (remainingTruncations == 0) {
      return false;
    }
    remainingTruncations--;
    return true;
  }

  /** Starts a new, cold incarnation without running or waiting calls. */
  synchronized void crash(boolean coldOverload) {
    counters.crashes.incrementAndGet();
    if (coldOverload) {
      counters.coldCrashes.incrementAndGet();
    }
    incarnation = newIncarnation();
    warmUp.resetToCold(nowMillis());
    slots.reset();
  }

  /**
   * Returns whether another call would exceed the capacity of the target while it is not fully
   * warm.
   */
  boolean wouldCrashFromColdOverload() {
    int callCount = slots.running() + slots.waiting();
    int warmPercent = warmUp.percent(nowMillis());
    return warmPercent < WarmUp.FULLY_WARM_PERCENT && callCount + 1 > warmUp.maxCalls(nowMillis());
  }

  /** Draws the service time of the next call. */
  synchronized Duration serviceTime() {
    double meanNanos = options.meanServiceTime().toNanos();
    double sigma = options.serviceTimeSigma();
    double variation = Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    double slowdown = Math.max(1, control.slowFactor()) * warmUp.slowdown(nowMillis());
    return Duration.ofNanos((long) (meanNanos * variation * slowdown));
  }

  /** Counts a completed call. */
  void countCompletedCall() {
    warmUp.countCompletedCall();
  }

  synchronized String incarnation() {
    return incarnation;
  }

  /** Returns the load report to send, which {@link TargetControl} can delay or replace. */
  synchronized String report() {
    String currentReport = LoadReportHeader.format(actualReport());
    pastReports.add(new PastReport(nowMillis(), currentReport));
    if (pastReports.size() > MAX_PAST_REPORTS) {
      pastReports.removeFirst();
    }
    if (control.misleadingReport() != null) {
      return control.misleadingReport();
    }
    long visibleFromMillis = nowMillis() - control.reportDelayMillis();
    while (pastReports.size() > 1 && pastReports.peekFirst().atMillis() < visibleFromMillis) {
      pastReports.removeFirst();
    }
    return control.reportDelayMillis() == 0 ? currentReport : pastReports.peekFirst().text();
  }

  private LoadReport actualReport() {
    return new LoadReport(
        slots.running() + slots.waiting(),
        options.slots(),
        warmUp.percent(nowMillis()),
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
