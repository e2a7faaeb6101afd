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
 * Reads a keyed topic of the store: first the latest record of each key, then new records.
 *
 * <p>At most one read is pending at a time. While the store does not respond, the reader keeps its
 * state and retries with increasing backoff and without long polling. If unread records have been
 * deleted from the store, the reader starts again with the latest record of each key. While the
 * reader is paused, it applies the records that a relay sends. Confined to the clock's thread.
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
  private long era;
  private long nextOffset;
  private long consecutiveFailures;
  private long lastResponseNanos;

  /**
   * Creates a reader that does not read until {@link #resume()} is called.
   *
   * @param topic the name of the topic
   * @param feed the feed under which the records of the topic are published
   * @param store the client of the store
   * @param timing supplies the current timing of reads
   * @param listener receives the records
   * @param publisher forwards the records that are read from the store to other VMs
   * @param clock the clock and scheduler
   * @param events receives events
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

  /** Stops reading and cancels the pending read. */
  void pause() {
    pendingRead.update(Disposables.disposed());
  }

  /** Continues reading immediately; starts with the latest record of each key if none is known. */
  void resume() {
    if (initialized) {
      publisher.resetTo(feed, nextOffset);
    }
    scheduleRead(Duration.ZERO);
  }

  /** Returns the offset of the next record; empty until the topic has been read. */
  OptionalLong nextOffset() {
    return initialized ? OptionalLong.of(nextOffset) : OptionalLong.empty();
  }

  /** Returns whether the last response of the store is at most {@code maxAge} old. */
  boolean respondedWithin(Duration maxAge) {
    return initialized
        && !storeLost
        && clock.now(TimeUnit.NANOSECONDS) - lastResponseNanos <= maxAge.toNanos();
  }

  /** Applies a snapshot from a relay; ignored if it is older than the current state. */
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

  /** Applies new records from a relay. */
  void applyRecords(List<KeyedRecord> records) {
    if (initialized) {
      applyNewRecords(records);
    }
  }

  /**
   * Advances to the offset that a relay has reported. The relay reaches the store and has sent all
   * changes before this offset.
   */
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

  /**
   * Returns how long the store may wait before it responds to the next read; zero while the store
   * is lost, because a long poll that starts during an outage may end long after the outage.
   */
  private Duration maxWait() {
    return storeLost ? Duration.ZERO : timing.get().maxWait();
  }

  private void onPage(KeyedPage page) {
    era = page.era();
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

  /** Applies the records that are not known yet and returns those that changed the state. */
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

  /** Called when the store has responded to this reader or to the relay that this VM follows. */
  private void onStoreResponding() {
    if (storeLost) {
      storeLost = false;
      events.emit(EventCode.STORE_REGAINED, EventField.of("topic", topic), position());
      listener.onStoreRegained();
    }
    consecutiveFailures = 0;
    lastResponseNanos = clock.now(TimeUnit.NANOSECONDS);
  }

  private void onError(Throwable error) {
    if (error instanceof RecordsDeletedException) {
      events.emit(EventCode.STORE_RESYNC, EventField.of("topic", topic), position());
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
          EventField.of("heardMsAgo", millisSinceLastResponse()),
          position());
      listener.onStoreLost();
    }
    long backoffMillis =
        INITIAL_BACKOFF_MILLIS << Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
    consecutiveFailures++;
    scheduleRead(Duration.ofMillis(backoffMillis));
  }

  /** Returns the era and the offset of the next record, separated by a slash. */
  private EventField position() {
    return EventField.of("next", era + "/" + nextOffset);
  }

  private long millisSinceLastResponse() {
    return TimeUnit.NANOSECONDS.toMillis(clock.now(TimeUnit.NANOSECONDS) - lastResponseNanos);
  }
}
