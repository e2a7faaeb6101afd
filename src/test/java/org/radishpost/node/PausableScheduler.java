package org.radishpost.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.scheduler.Scheduler;
import reactor.test.scheduler.VirtualTimeScheduler;

/** Runs the tasks of one VM in virtual time. It can be paused, resumed and stopped. */
final class PausableScheduler implements Scheduler {
  private final VirtualTimeScheduler time;
  private final Deque<Runnable> heldTasks = new ArrayDeque<>();
  private boolean paused;
  private boolean stopped;

  PausableScheduler(VirtualTimeScheduler time) {
    this.time = time;
  }

  void pause() {
    paused = true;
  }

  void resume() {
    paused = false;
    while (!paused && !heldTasks.isEmpty()) {
      heldTasks.poll().run();
    }
  }

  void stop() {
    stopped = true;
    heldTasks.clear();
  }

  boolean isStopped() {
    return stopped;
  }

  private Runnable unlessPaused(Runnable task) {
    return () -> {
      if (stopped) {
        return;
      }
      if (paused) {
        heldTasks.add(task);
      } else {
        task.run();
      }
    };
  }

  @Override
  public long now(TimeUnit unit) {
    return time.now(unit);
  }

  @Override
  public Disposable schedule(Runnable task) {
    return time.schedule(unlessPaused(task));
  }

  @Override
  public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
    return time.schedule(unlessPaused(task), delay, unit);
  }

  @Override
  public Disposable schedulePeriodically(Runnable task, long first, long period, TimeUnit unit) {
    return time.schedulePeriodically(unlessPaused(task), first, period, unit);
  }

  @Override
  public Worker createWorker() {
    Disposable.Composite tasks = Disposables.composite();
    return new Worker() {
      @Override
      public Disposable schedule(Runnable task) {
        return PausableScheduler.this.schedule(() -> runUnlessDisposed(task));
      }

      @Override
      public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
        return PausableScheduler.this.schedule(() -> runUnlessDisposed(task), delay, unit);
      }

      @Override
      public Disposable schedulePeriodically(
          Runnable task, long first, long period, TimeUnit unit) {
        return PausableScheduler.this.schedulePeriodically(
            () -> runUnlessDisposed(task), first, period, unit);
      }

      private void runUnlessDisposed(Runnable task) {
        if (!tasks.isDisposed()) {
          task.run();
        }
      }

      @Override
      public void dispose() {
        tasks.dispose();
      }
    };
  }
}
