package org.radishpost.slots;

/** Runs tasks later, on the thread of the broker. */
public interface WakeUpTimer {
  /**
   * Runs a task once.
   *
   * @param delayNanos the delay in nanoseconds
   * @param task the task
   */
  void schedule(long delayNanos, Runnable task);
}
