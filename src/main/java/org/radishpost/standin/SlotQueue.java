package org.radishpost.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * The execution slots of a target and the FIFO queue of calls that wait for a slot. Thread-safe.
 */
final class SlotQueue {
  private final int slots;
  private final int maxWaiting;
  private final Deque<MonoSink<Long>> waiting = new ArrayDeque<>();
  private long generation;
  private int running;
  private int maxRunning;

  SlotQueue(int slots, int maxWaiting) {
    this.slots = slots;
    this.maxWaiting = maxWaiting;
  }

  /**
   * Waits for a free slot and emits the generation to pass to {@link #release}. Completes empty if
   * the queue is full, or if {@link #reset} is called during the wait.
   */
  Mono<Long> acquire() {
    return Mono.create(this::admit);
  }

  /** Releases a slot. Has no effect if {@link #reset} was called since the slot was acquired. */
  void release(long acquiredGeneration) {
    MonoSink<Long> nextCall;
    synchronized (this) {
      if (acquiredGeneration != generation) {
        return;
      }
      running--;
      nextCall = waiting.poll();
      if (nextCall != null) {
        startRunning();
      }
    }
    if (nextCall != null) {
      nextCall.success(acquiredGeneration);
    }
  }

  /** Discards all running and waiting calls, as a crash does, and starts a new generation. */
  void reset() {
    List<MonoSink<Long>> dropped;
    synchronized (this) {
      dropped = new ArrayList<>(waiting);
      waiting.clear();
      running = 0;
      generation++;
    }
    dropped.forEach(MonoSink::success);
  }

  synchronized int running() {
    return running;
  }

  synchronized int waiting() {
    return waiting.size();
  }

  synchronized int maxRunning() {
    return maxRunning;
  }

  private void admit(MonoSink<Long> call) {
    long currentGeneration;
    Admission admission;
    synchronized (this) {
      currentGeneration = generation;
      admission = tryAdmit(call);
    }
    if (admission != Admission.REJECTED) {
      call.onCancel(() -> cancel(call, currentGeneration));
    }
    if (admission != Admission.QUEUED) {
      call.success(admission == Admission.RUNNING ? currentGeneration : null);
    }
  }

  private Admission tryAdmit(MonoSink<Long> call) {
    if (running < slots) {
      startRunning();
      return Admission.RUNNING;
    }
    if (waiting.size() >= maxWaiting) {
      return Admission.REJECTED;
    }
    waiting.add(call);
    return Admission.QUEUED;
  }

  private void cancel(MonoSink<Long> call, long admittedGeneration) {
    boolean wasWaiting;
    synchronized (this) {
      wasWaiting = waiting.remove(call);
    }
    if (!wasWaiting) {
      release(admittedGeneration);
    }
  }

  private void startRunning() {
    running++;
    maxRunning = Math.max(maxRunning, running);
  }

  private enum Admission {
    RUNNING,
    QUEUED,
    REJECTED
  }
}
