package org.radishpost.platform;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.radishpost.config.Configuration;
import org.radishpost.events.EventSink;
import org.radishpost.feed.Feed;
import org.radishpost.feed.FeedPublisher;
import org.radishpost.feed.FeedReader;
import org.radishpost.feed.FeedRecord;
import org.radishpost.feed.KeyedRecord;
import org.radishpost.feed.Position;
import org.radishpost.feed.TopicOffset;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ZoneName;
import org.radishpost.placement.TargetDirectory;
import reactor.core.scheduler.Scheduler;

/**
 * Updates the configuration and the target directory from the platform's store.
 *
 * <p>Reads nothing until {@link #resume()} is called. Confined to the clock's thread.
 */
public final class PlatformFeed implements FeedReader {
  /**
   * Operators change the desired state rarely, so long polling is used. The wait is short because
   * the store may drop a long poll without notice, and a new desired state must take effect within
   * seconds.
   */
  private static final PollTiming OPERATORS_TIMING =
      new PollTiming(Duration.ofSeconds(2), Duration.ofMillis(50));

  /**
   * Targets renew their entries continuously, so these are read in batches without long polling.
   */
  private static final PollTiming TARGETS_TIMING =
      new PollTiming(Duration.ZERO, Duration.ofMillis(1100));

  /** A relay uses shorter intervals because its followers must notice a store outage sooner. */
  private static final PollTiming RELAY_OPERATORS_TIMING =
      new PollTiming(Duration.ofSeconds(1), Duration.ofMillis(50));

  private static final PollTiming RELAY_TARGETS_TIMING =
      new PollTiming(Duration.ZERO, Duration.ofMillis(600));

  /** Maximum age of the store's last response for the store to count as reachable. */
  private static final Duration MAX_RESPONSE_AGE = Duration.ofMillis(1500);

  private final TopicReader operators;
  private final TopicReader targets;

  /**
   * Creates a feed that does not read yet.
   *
   * @param store the client of the store
   * @param regionsByZone supplies the region of each availability zone
   * @param configurationListener receives each configuration
   * @param directory receives the targets' entries
   * @param isRelay returns whether this VM is a relay
   * @param publisher forwards the records that are read from the store to other VMs
   * @param clock the clock and scheduler
   * @param events receives events
   */
  public PlatformFeed(
      StoreClient store,
      Supplier<Map<ZoneName, RegionName>> regionsByZone,
      Consumer<Configuration> configurationListener,
      TargetDirectory directory,
      BooleanSupplier isRelay,
      FeedPublisher publisher,
      Scheduler clock,
      EventSink events) {
    this.operators =
        new TopicReader(
            WireNames.OPERATOR_TOPIC,
            Feed.OPERATORS,
            store,
            () -> isRelay.getAsBoolean() ? RELAY_OPERATORS_TIMING : OPERATORS_TIMING,
            new OperatorTopicListener(configurationListener, events),
            publisher,
            this::onNewEra,
            clock,
            events);
    this.targets =
        new TopicReader(
            WireNames.TARGET_TOPIC,
            Feed.TARGETS,
            store,
            () -> isRelay.getAsBoolean() ? RELAY_TARGETS_TIMING : TARGETS_TIMING,
            new TargetTopicListener(directory, regionsByZone, clock, events),
            publisher,
            this::onNewEra,
            clock,
            events);
  }

  /** Returns whether the store has responded recently for both topics. */
  public boolean isStoreReachable() {
    return operators.respondedWithin(MAX_RESPONSE_AGE) && targets.respondedWithin(MAX_RESPONSE_AGE);
  }

  @Override
  public Optional<Position> position() {
    if (operators.nextOffset().isEmpty() || targets.nextOffset().isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new Position(operators.nextOffset().get(), targets.nextOffset().get()));
  }

  @Override
  public void applySnapshot(Feed feed, List<KeyedRecord> records, TopicOffset nextOffset) {
    topic(feed).applySnapshot(records, nextOffset);
  }

  @Override
  public void applyRecords(Feed feed, List<FeedRecord> records) {
    topic(feed).applyRecords(records);
  }

  @Override
  public void advanceTo(Position position) {
    operators.advanceTo(position.operators());
    targets.advanceTo(position.targets());
  }

  @Override
  public void pause() {
    operators.pause();
    targets.pause();
  }

  @Override
  public void resume() {
    operators.resume();
    targets.resume();
  }

  /** Makes both topics start anew as soon as one of them has found that the store was restored. */
  private void onNewEra(long era) {
    operators.startAnew(era);
    targets.startAnew(era);
  }

  private TopicReader topic(Feed feed) {
    return switch (feed) {
      case OPERATORS -> operators;
      case TARGETS -> targets;
    };
  }
}
