package org.radishpost.platform;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.radishpost.errors.RecordsDeletedException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Follows a keyed topic of the store: first the newest record of each key, then what comes.
 *
 * <p>Reads one page after the other, never two at once. While the store doesn't answer, it asks
 * again at growing pauses, without waiting there, and what is known stays. When records that were
 * not read yet have been deleted, it begins anew. Confined to the clock's thread.
 */
final class KeyedTopic {
  private static final long FIRST_PAUSE_MILLIS = 100;
  private static final int MAX_PAUSE_DOUBLINGS = 2;

  private final String topic;
  private final StoreClient store;
  private final Duration longestWait;
  private final Duration pace;
  private final TopicListener listener;
  private final Scheduler clock;
  private final EventSink events;
  private final Disposable.Swap running = Disposables.swap();
  private boolean known;
  private boolean lost;
  private long next;
  private long failures;
  private long heardNanos;

  /**
   * Creates one that does not read yet.
   *
   * @param topic the topic
   * @param store the store
   * @param longestWait how long one read waits for a record
   * @param pace the shortest time between the ends of two reads
   * @param listener told of what is read
   * @param clock the clock and timers
   * @param events where events go
   */
  KeyedTopic(
      String topic,
      StoreClient store,
      Duration longestWait,
      Duration pace,
      TopicListener listener,
      Scheduler clock,
      EventSink events) {
    this.topic = topic;
    this.store = store;
    this.longestWait = longestWait;
    this.pace = pace;
    this.listener = listener;
    this.clock = clock;
    this.events = events;
  }

  void start() {
    heardNanos = clock.now(TimeUnit.NANOSECONDS);
    turn(Duration.ZERO);
  }

  void stop() {
    running.dispose();
  }

  private void turn(Duration pause) {
    Mono<KeyedPage> page =
        Mono.defer(() -> known ? store.read(topic, next, currentWait()) : store.newest(topic));
    Mono<KeyedPage> paused = pause.isZero() ? page : Mono.delay(pause, clock).then(page);
    running.update(paused.publishOn(clock).subscribe(this::came, this::failed));
  }

  /** A store that is lost is not waited at: a wait that begins in an outage may end long after. */
  private Duration currentWait() {
    return lost ? Duration.ZERO : longestWait;
  }

  private void came(KeyedPage page) {
    if (lost) {
      lost = false;
      events.emit(EventCode.STORE_REGAINED, EventField.of("topic", topic));
      listener.storeBack();
    }
    failures = 0;
    heardNanos = clock.now(TimeUnit.NANOSECONDS);
    if (known) {
      page.records().forEach(listener::record);
    } else {
      listener.newest(page.records());
    }
    known = true;
    next = page.next();
    turn(pace);
  }

  private void failed(Throwable error) {
    if (error instanceof RecordsDeletedException) {
      events.emit(
          EventCode.STORE_RESYNC, EventField.of("topic", topic), EventField.of("next", next));
      known = false;
      turn(Duration.ZERO);
      return;
    }
    if (!lost) {
      lost = true;
      events.emit(
          EventCode.STORE_LOST,
          EventField.of("topic", topic),
          EventField.of("why", error.getMessage()),
          EventField.of("heardMsAgo", heardMillisAgo()));
      listener.storeLost();
    }
    long pause = FIRST_PAUSE_MILLIS << Math.min(failures, MAX_PAUSE_DOUBLINGS);
    failures++;
    turn(Duration.ofMillis(pause));
  }

  private long heardMillisAgo() {
    return TimeUnit.NANOSECONDS.toMillis(clock.now(TimeUnit.NANOSECONDS) - heardNanos);
  }
}
