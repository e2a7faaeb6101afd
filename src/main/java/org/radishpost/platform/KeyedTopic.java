package org.radishpost.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.radishpost.errors.RecordsDeletedException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.feed.Feed;
import org.radishpost.feed.FeedPublisher;
import org.radishpost.feed.KeyedRecord;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Follows a keyed topic of the store: first the newest record of each key, then what comes.
 *
 * <p>Reads one page after the other, never two at once. While the store doesn't answer, it asks
 * again at growing pauses, without waiting there, and what is known stays. When records that were
 * not read yet have been deleted, it begins anew. While it is paused, another VM may pass records
 * on. Confined to the clock's thread.
 */
final class KeyedTopic {
  private static final long FIRST_PAUSE_MILLIS = 100;
  private static final int MAX_PAUSE_DOUBLINGS = 2;

  private final String topic;
  private final Feed feed;
  private final StoreClient store;
  private final Supplier<ReadPace> pace;
  private final TopicListener listener;
  private final FeedPublisher publisher;
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
   * @param feed the feed that it is for other VMs
   * @param store the store
   * @param pace how it is read now
   * @param listener told of what is read
   * @param publisher takes what is read, for other VMs
   * @param clock the clock and timers
   * @param events where events go
   */
  KeyedTopic(
      String topic,
      Feed feed,
      StoreClient store,
      Supplier<ReadPace> pace,
      TopicListener listener,
      FeedPublisher publisher,
      Scheduler clock,
      EventSink events) {
    this.topic = topic;
    this.feed = feed;
    this.store = store;
    this.pace = pace;
    this.listener = listener;
    this.publisher = publisher;
    this.clock = clock;
    this.events = events;
    this.heardNanos = clock.now(TimeUnit.NANOSECONDS);
  }

  /** Ends reading; what was asked for and has not come is left out. */
  void pause() {
    running.update(Disposables.disposed());
  }

  /** Reads on at once from what is known; from the start if nothing is. */
  void resume() {
    if (known) {
      publisher.restarted(feed, next);
    }
    turn(Duration.ZERO);
  }

  /** Returns the offset of the record that comes next, if the topic has been read. */
  OptionalLong next() {
    return known ? OptionalLong.of(next) : OptionalLong.empty();
  }

  /** Tells whether the store has answered within the given time. */
  boolean heardWithin(Duration age) {
    return known && !lost && clock.now(TimeUnit.NANOSECONDS) - heardNanos <= age.toNanos();
  }

  /** Takes the newest record of each key from another VM, unless more is known already. */
  void newestPassedOn(List<KeyedRecord> records, long newNext) {
    if (!known || newNext >= next) {
      begin(records, newNext);
      publisher.restarted(feed, next);
    }
  }

  private void begin(List<KeyedRecord> records, long newNext) {
    heard();
    listener.newest(records);
    known = true;
    next = newNext;
  }

  /** Takes records that another VM has read. */
  void passedOn(List<KeyedRecord> records) {
    if (known) {
      take(records);
    }
  }

  /** Takes note that another VM hears from the store and that nothing is missing before here. */
  void advance(long upTo) {
    heard();
    next = Math.max(next, upTo);
  }

  private void turn(Duration pause) {
    Mono<KeyedPage> page =
        Mono.defer(() -> known ? store.read(topic, next, currentWait()) : store.newest(topic));
    Mono<KeyedPage> paused = pause.isZero() ? page : Mono.delay(pause, clock).then(page);
    running.update(paused.publishOn(clock).subscribe(this::came, this::failed));
  }

  /** A store that is lost is not waited at: a wait that begins in an outage may end long after. */
  private Duration currentWait() {
    return lost ? Duration.ZERO : pace.get().longestWait();
  }

  private void came(KeyedPage page) {
    if (known) {
      heard();
      List<KeyedRecord> changes = take(page.records());
      next = Math.max(next, page.next());
      publisher.published(feed, page.records(), changes, next);
    } else {
      begin(page.records(), page.next());
      publisher.began(feed, page.records(), next);
    }
    turn(pace.get().pause());
  }

  /** Takes the records that are not known yet; returns those that change something. */
  private List<KeyedRecord> take(List<KeyedRecord> records) {
    List<KeyedRecord> changes = new ArrayList<>();
    for (KeyedRecord record : records) {
      if (record.offset() < next) {
        continue;
      }
      next = record.offset() + 1;
      if (listener.record(record)) {
        changes.add(record);
      }
    }
    return changes;
  }

  private void heard() {
    if (lost) {
      lost = false;
      events.emit(EventCode.STORE_REGAINED, EventField.of("topic", topic));
      listener.storeBack();
    }
    failures = 0;
    heardNanos = clock.now(TimeUnit.NANOSECONDS);
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
