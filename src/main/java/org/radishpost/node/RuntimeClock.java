package org.radishpost.node;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * The clock and timers of a real process: monotonic time that is initialized from the wall clock.
 *
 * <p>Thread-safe. Its time never decreases and ignores later changes of the wall clock. This is the
 * only class that reads the system clock.
 */
public final class RuntimeClock implements Scheduler {
  private final Scheduler timers;
  private final long startNanos;
  private final long startEpochNanos;

  /** Creates a clock that starts at the current wall clock time. */
  public RuntimeClock() {
    this(
        Schedulers.parallel(),
        System.nanoTime(),
        TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis()));
  }

  private RuntimeClock(Scheduler timers, long startNanos, long startEpochNanos) {
    this.timers = timers;
    this.startNanos = startNanos;
    this.startEpochNanos = startEpochNanos;
  }

  /** Returns a clock with the same time whose tasks run on a new dedicated thread. */
  public RuntimeClock onDedicatedThread(String threadName) {
    return new RuntimeClock(Schedulers.newSingle(threadName, true), startNanos, startEpochNanos);
  }

  /** Returns a clock with the same time whose tasks run on the given executor. */
  public RuntimeClock onExecutor(ScheduledExecutorService executor) {
    return new RuntimeClock(Schedulers.fromExecutorService(executor), startNanos, startEpochNanos);
  }

  @Override
  public void dispose() {
    if (timers != Schedulers.parallel()) {
      timers.dispose();
    }
  }

  @Override
  public long now(TimeUnit unit) {
    return unit.convert(startEpochNanos + System.nanoTime() - startNanos, TimeUnit.NANOSECONDS);
  }

  @Override
  public Disposable schedule(Runnable task) {
    return timers.schedule(task);
  }

  @Override
  public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
    return timers.schedule(task, delay, unit);
  }

  @Override
  public Disposable schedulePeriodically(
      Runnable task, long initialDelay, long period, TimeUnit unit) {
    return timers.schedulePeriodically(task, initialDelay, period, unit);
  }

  @Override
  public Worker createWorker() {
    return timers.createWorker();
  }
}
