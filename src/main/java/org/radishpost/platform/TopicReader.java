package org.radishpost.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.radishpost.errors.RecordsDeletedException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.feed.Feed;
import org.radishpost.feed.FeedPublisher;
import org.radishpost.feed.FeedRecord;
import org.radishpost.feed.KeyedRecord;
import org.radishpost.feed.TopicOffset;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Reads a keyed topic of the store: first the latest record of each key, then new records.
 *
 * <p>At most one read is pending at a time. While the store does not respond, the reader keeps its
 * state and retries with increasing backoff and without long polling. If unread records have been
 * deleted from the store, or if the store was restored from an earlier copy, the reader starts
 * again with the latest record of each key. While the reader is paused, it applies the records that
 * a relay sends. Confined to the clock's thread.
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
  private final LongConsumer newEraListener;
  private final Scheduler clock;
  private final EventSink events;
  private final Disposable.Swap pendingRead = Disposables.swap();
  private Optional<TopicOffset> nextOffset = Optional.empty();
  private boolean snapshotRequired = true;
  private long newestEra;
  private boolean storeLost;
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
   * @param newEraListener receives each new era of the store that this reader finds
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
      LongConsumer newEraListener,
      Scheduler clock,
      EventSink events) {
    this.topic = topic;
    this.feed = feed;
    this.store = store;
    this.timing = timing;
    this.listener = listener;
    this.publisher = publisher;
    this.newEraListener = newEraListener;
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
    nextOffset().ifPresent(offset -> publisher.resetTo(feed, offset));
    scheduleRead(Duration.ZERO);
  }

  /** Returns the offset of the next record; empty if a snapshot of the topic is required. */
  Optional<TopicOffset> nextOffset() {
    return snapshotRequired ? Optional.empty() : nextOffset;
  }

  /** Returns whether the last response of the store is at most {@code maxAge} old. */
  boolean respondedWithin(Duration maxAge) {
    return !snapshotRequired
        && !storeLost
        && clock.now(TimeUnit.NANOSECONDS) - lastResponseNanos <= maxAge.toNanos();
  }

  /**
   * Reads the topic anew if the era is new: the store was restored from an earlier copy, so the
   * offsets of the era before mean nothing any more. Must not be called while the reader is paused.
   */
  void startAnew(long era) {
    if (era <= newestEra) {
      return;
    }
    newestEra = era;
    if (nextOffset.isEmpty()) {
      return;
    }
    events.emit(
        EventCode.STORE_RESTORED,
        EventField.of("topic", topic),
        EventField.of("era", era),
        EventField.of("heardMsAgo", millisSinceLastResponse()),
        nextField());
    snapshotRequired = true;
    scheduleRead(Duration.ZERO);
  }

  /**
   * Applies a snapshot from a relay; ignored if it is older than the current state or of an earlier
   * era than this reader has heard of.
   */
  void applySnapshot(List<KeyedRecord> records, TopicOffset newNextOffset) {
    boolean older = nextOffset.filter(newNextOffset::isBefore).isPresent();
    if (older || newNextOffset.era() < newestEra) {
      return;
    }
    loadSnapshot(records, newNextOffset);
    publisher.resetTo(feed, newNextOffset);
  }

  /** Applies a snapshot; returns its records without those that are older than what was known. */
  private List<KeyedRecord> loadSnapshot(List<KeyedRecord> records, TopicOffset newNextOffset) {
    onStoreResponding();
    final Optional<TopicOffset> previous = nextOffset;
    nextOffset = Optional.of(newNextOffset);
    newestEra = newNextOffset.era();
    snapshotRequired = false;
    if (previous.isEmpty() || previous.get().sameEra(newNextOffset)) {
      return listener.onSnapshot(records);
    }
    List<KeyedRecord> newRecords = listener.onRestoredSnapshot(records);
    events.emit(
        EventCode.STORE_RECOVERED,
        EventField.of("topic", topic),
        EventField.of("before", previous.get()),
        nextField());
    return newRecords;
  }

  /** Applies new records from a relay. */
  void applyRecords(List<FeedRecord> records) {
    if (!snapshotRequired) {
      records.forEach(this::applyIfNew);
    }
  }

  /**
   * Advances to the offset that a relay has reported. The relay reaches the store and has sent all
   * changes before this offset.
   */
  void advanceTo(TopicOffset offset) {
    onStoreResponding();
    if (nextOffset.filter(known -> known.sameEra(offset) && known.isBefore(offset)).isPresent()) {
      nextOffset = Optional.of(offset);
    }
  }

  private void scheduleRead(Duration delay) {
    Mono<KeyedPage> page =
        Mono.defer(
            () ->
                snapshotRequired
                    ? store.readSnapshot(topic, newestEra)
                    : store.read(topic, nextOffset.orElseThrow(), maxWait()));
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
    if (snapshotRequired) {
      List<KeyedRecord> newRecords = loadSnapshot(page.records(), page.nextOffset());
      publisher.publishSnapshot(feed, newRecords, page.nextOffset());
    } else if (page.nextOffset().era() > newestEra) {
      newEraListener.accept(page.nextOffset().era());
      return;
    } else {
      onStoreResponding();
      applyAndPublish(page);
    }
    scheduleRead(timing.get().pause());
  }

  private void applyAndPublish(KeyedPage page) {
    List<KeyedRecord> newRecords = new ArrayList<>();
    List<FeedRecord> forwarded = new ArrayList<>();
    for (KeyedRecord record : page.records()) {
      Optional<FeedRecord> toForward = applyIfNew(record);
      if (toForward.isPresent()) {
        newRecords.add(record);
        forwarded.add(toForward.get());
      }
    }
    nextOffset = Optional.of(page.nextOffset());
    publisher.publishRecords(feed, newRecords, forwarded, page.nextOffset());
  }

  /** Applies a record that is not known yet; returns what followers need of it. */
  private Optional<FeedRecord> applyIfNew(FeedRecord record) {
    TopicOffset expected = nextOffset.orElseThrow();
    if (!record.offset().sameEra(expected) || record.offset().isBefore(expected)) {
      return Optional.empty();
    }
    nextOffset = Optional.of(record.offset().next());
    return listener.onRecord(record);
  }

  /** Called when the store has responded to this reader or to the relay that this VM follows. */
  private void onStoreResponding() {
    if (storeLost) {
      storeLost = false;
      events.emit(EventCode.STORE_REGAINED, EventField.of("topic", topic), nextField());
      listener.onStoreRegained();
    }
    consecutiveFailures = 0;
    lastResponseNanos = clock.now(TimeUnit.NANOSECONDS);
  }

  private void onError(Throwable error) {
    if (nextOffset.isPresent() && store.newestEra() > newestEra) {
      newEraListener.accept(store.newestEra());
      return;
    }
    if (error instanceof RecordsDeletedException) {
      events.emit(EventCode.STORE_RESYNC, EventField.of("topic", topic), nextField());
      snapshotRequired = true;
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
          nextField());
      listener.onStoreLost();
    }
    long backoffMillis =
        INITIAL_BACKOFF_MILLIS << Math.min(consecutiveFailures, MAX_BACKOFF_DOUBLINGS);
    consecutiveFailures++;
    scheduleRead(Duration.ofMillis(backoffMillis));
  }

  private EventField nextField() {
    return EventField.of("next", nextOffset.map(TopicOffset::toString).orElse("none"));
  }

  private long millisSinceLastResponse() {
    return TimeUnit.NANOSECONDS.toMillis(clock.now(TimeUnit.NANOSECONDS) - lastResponseNanos);
  }
}
