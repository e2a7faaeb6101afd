package org.radishpost.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** The slots of a target and the calls that wait for one, first come first served; thread-safe. */
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

  /** Emits the generation to release once a slot is free; empty when too many calls wait. */
  Mono<Long> acquire() {
    return Mono.create(this::admit);
  }

  /** Frees a slot that was acquired in the generation. */
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

  /** Forgets every call, as a crash does. */
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
