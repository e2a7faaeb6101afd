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
final class TopicReader {
  private static final long INITIAL_BACKOFF_MILLIS = 100;
  private static final int MAX_BACKOFF_DOUBLINGS = 2;

  private final String topic;
  private final Feed feed;
  private final StoreClient store;
  private final Supplier<PollTiming> timing;
  private final TopicListener listener;
  private final FeedPublisher publisher;
  private final Scheduler clock;
  private final EventSink events;
  private final Disposable.Swap pendingRead = Disposables.swap();
  private boolean initialized;
  private boolean storeLost;
  private long nextOffset;
  private long consecutiveFailures;
  private long lastResponseNanos;

  /**
   * Creates one that does not read yet.
   *
   * @param topic the topic
   * @param feed the feed that it is for other VMs
   * @param store the store
   * @param timing how it is read now
   * @param listener told of what is read
   * @param publisher takes what is read, for other VMs
   * @param clock the clock and timers
   * @param events where events go
   */
  TopicReader(
      String topic,
      Feed feed,
      StoreClient store,
      Supplier<PollTiming> timing,
      TopicListener listener,
      FeedPublisher publisher,
      Scheduler clock,
      EventSink events) {
    this.topic = topic;
    this.feed = feed;
    this.store = store;
    this.timing = timing;
    this.listener = listener;
    this.publisher = publisher;
    this.clock = clock;
    this.events = events;
    this.lastResponseNanos = clock.now(TimeUnit.NANOSECONDS);
  }

  /** Ends reading; what was asked for and has not come is left out. */
  void pause() {
    pendingRead.update(Disposables.disposed());
  }

  /** Reads on at once from what is known; from the start if nothing is. */
  void resume() {
    if (initialized) {
      publisher.resetTo(feed, nextOffset);
    }
    scheduleRead(Duration.ZERO);
  }

  /** Returns the offset of the record that comes next, if the topic has been read. */
  OptionalLong nextOffset() {
    return initialized ? OptionalLong.of(nextOffset) : OptionalLong.empty();
  }

  /** Tells whether the store has answered within the given time. */
  boolean respondedWithin(Duration maxAge) {
    return initialized
        && !storeLost
        && clock.now(TimeUnit.NANOSECONDS) - lastResponseNanos <= maxAge.toNanos();
  }

  /** Takes the newest record of each key from another VM, unless more is known already. */
  void applySnapshot(List<KeyedRecord> records, long newNextOffset) {
    if (!initialized || newNextOffset >= nextOffset) {
      loadSnapshot(records, newNextOffset);
      publisher.resetTo(feed, nextOffset);
    }
  }

  private void loadSnapshot(List<KeyedRecord> records, long newNextOffset) {
    onStoreResponding();
    listener.onSnapshot(records);
    initialized = true;
    nextOffset = newNextOffset;
  }

  /** Takes records that another VM has read. */
  void applyRecords(List<KeyedRecord> records) {
    if (initialized) {
      applyNewRecords(records);
    }
  }

  /** Takes note that another VM hears from the store and that nothing is missing before here. */
  void advanceTo(long offset) {
    onStoreResponding();
    nextOffset = Math.max(nextOffset, offset);
  }

  private void scheduleRead(Duration delay) {
    Mono<KeyedPage> page =
        Mono.defer(
            () ->
                initialized ? store.read(topic, nextOffset, maxWait()) : store.readSnapshot(topic));
    Mono<KeyedPage> delayed = delay.isZero() ? page : Mono.delay(delay, clock).then(page);
    pendingRead.update(delayed.publishOn(clock).subscribe(this::onPage, this::onError));
  }

  /** A store that is lost is not waited at: a wait that begins in an outage may end long after. */
  private Duration maxWait() {
    return storeLost ? Duration.ZERO : timing.get().maxWait();
  }

  private void onPage(KeyedPage page) {
    if (initialized) {
      onStoreResponding();
      List<KeyedRecord> changes = applyNewRecords(page.records());
      nextOffset = Math.max(nextOffset, page.nextOffset());
      publisher.publishRecords(feed, page.records(), changes, nextOffset);
    } else {
      loadSnapshot(page.records(), page.nextOffset());
      publisher.publishSnapshot(feed, page.records(), nextOffset);
    }
    scheduleRead(timing.get().pause());
  }

  /** Takes the records that are not known yet; returns those that change something. */
  private List<KeyedRecord> applyNewRecords(List<KeyedRecord> records) {
    List<KeyedRecord> changes = new ArrayList<>();
    for (KeyedRecord record : records) {
      if (record.offset() < nextOffset) {
        continue;
      }
      nextOffset = record.offset() + 1;
      if (listener.onRecord(record)) {
        changes.add(record);
      }
    }
    return changes;
  }

  private void onStoreResponding() {
    if (storeLost) {
      storeLost = false;
      events.emit(EventCode.STORE_REGAINED, EventField.of("topic", topic));
      listener.onStoreRegained();
    }
    consecutiveFailures = 0;
    lastResponseNanos = clock.now(TimeUnit.NANOSECONDS);
  }

  private void onError(Throwable error) {
    if (error instanceof RecordsDeletedException) {
      events.emit(
          EventCode.STORE_RESYNC, EventField.of("topic", topic), EventField.of("next", nextOffset));
      initialized = false;
      scheduleRead(Duration.ZERO);
      return;
    }
    if (!storeLost) {
      storeLost = true;
      events.emit(
          EventCode.STORE_LOST,
          EventField.of("topic", topic),
          EventField.of("why", error.getMessage()),
          EventField.of("heardMsAgo", millisSinceLastResponse()));
      listener.onStoreLost();
    }
    long backoffMillis =
        INITIAL_BACKOFF_MILLIS << Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
    consecutiveFailures++;
    scheduleRead(Duration.ofMillis(backoffMillis));
  }

  private long millisSinceLastResponse() {
    return TimeUnit.NANOSECONDS.toMillis(clock.now(TimeUnit.NANOSECONDS) - lastResponseNanos);
  }
}
