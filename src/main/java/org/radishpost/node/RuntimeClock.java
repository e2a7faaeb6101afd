package org.radishpost.node;

import java.util.concurrent.TimeUnit;
import reactor.core.Disposable;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/**
 * The clock and timers of a real process: a monotonic time that began at the wall clock's.
 *
 * <p>Thread-safe. Its time never falls and does not follow later changes of the wall clock. This is
 * the only place that reads the system's clock.
 */
public final class RuntimeClock implements Scheduler {
  private final Scheduler timers = Schedulers.parallel();
  private final long startNanos = System.nanoTime();
  private final long startEpochNanos = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());

  /** Creates a clock that starts at the wall clock's time. */
  public RuntimeClock() {}

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
