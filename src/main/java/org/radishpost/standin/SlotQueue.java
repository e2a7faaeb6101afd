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
  private final int limit;
  private final Deque<MonoSink<Long>> waiting = new ArrayDeque<>();
  private long generation;
  private int running;
  private int maxRunning;

  SlotQueue(int slots, int limit) {
    this.slots = slots;
    this.limit = limit;
  }

  /** Emits the generation to release once a slot is free; empty when too many calls wait. */
  Mono<Long> acquire() {
    return Mono.create(this::enter);
  }

  /** Frees a slot that was acquired in the generation. */
  void release(long acquiredIn) {
    MonoSink<Long> next;
    synchronized (this) {
      if (acquiredIn != generation) {
        return;
      }
      running--;
      next = waiting.poll();
      if (next != null) {
        run();
      }
    }
    if (next != null) {
      next.success(acquiredIn);
    }
  }

  /** Forgets every call, as a crash does. */
  void clear() {
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

  private void enter(MonoSink<Long> call) {
    long now;
    Place place;
    synchronized (this) {
      now = generation;
      place = place(call);
    }
    if (place != Place.NONE) {
      call.onCancel(() -> leave(call, now));
    }
    if (place != Place.QUEUE) {
      call.success(place == Place.SLOT ? now : null);
    }
  }

  private Place place(MonoSink<Long> call) {
    if (running < slots) {
      run();
      return Place.SLOT;
    }
    if (waiting.size() >= limit) {
      return Place.NONE;
    }
    waiting.add(call);
    return Place.QUEUE;
  }

  private void leave(MonoSink<Long> call, long enteredIn) {
    boolean waited;
    synchronized (this) {
      waited = waiting.remove(call);
    }
    if (!waited) {
      release(enteredIn);
    }
  }

  private void run() {
    running++;
    maxRunning = Math.max(maxRunning, running);
  }

  private enum Place {
    SLOT,
    QUEUE,
    NONE
  }
}
