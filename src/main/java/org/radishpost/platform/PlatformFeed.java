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
import org.radishpost.feed.KeyedRecord;
import org.radishpost.feed.Position;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ZoneName;
import org.radishpost.placement.TargetDirectory;
import reactor.core.scheduler.Scheduler;

/**
 * Keeps the configuration and the directory of targets as new as the platform's store.
 *
 * <p>Reads nothing before {@link #resume()}. Confined to the clock's thread.
 */
public final class PlatformFeed implements FeedReader {
  /**
   * Desired states are rare, so each is waited for; not for long, as a store that has dropped a
   * wait doesn't say so, and a desired state must be in force within seconds.
   */
  private static final PollTiming OPERATORS_TIMING =
      new PollTiming(Duration.ofSeconds(2), Duration.ofMillis(50));

  /** Targets renew their entries all the time, so they are read in batches. */
  private static final PollTiming TARGETS_TIMING =
      new PollTiming(Duration.ZERO, Duration.ofMillis(1100));

  /** Others wait for what a relay reads, and it has to tell sooner that it hears nothing. */
  private static final PollTiming RELAY_OPERATORS_TIMING =
      new PollTiming(Duration.ofSeconds(1), Duration.ofMillis(50));

  private static final PollTiming RELAY_TARGETS_TIMING =
      new PollTiming(Duration.ZERO, Duration.ofMillis(600));

  /** The longest time since the store's last answer within which a relay still is one. */
  private static final Duration MAX_RESPONSE_AGE = Duration.ofMillis(1500);

  private final TopicReader operators;
  private final TopicReader targets;

  /**
   * Creates a feed.
   *
   * @param store the client of the store
   * @param regionsByZone the availability zones and their regions
   * @param configurationListener takes each configuration
   * @param directory takes the targets' entries
   * @param isRelay whether other VMs wait for what is read here
   * @param publisher takes what is read, for other VMs
   * @param clock the clock and timers
   * @param events where events go
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
            clock,
            events);
  }

  /** Tells whether the store has answered just now for all that is read. */
  public boolean isStoreReachable() {
    return operators.respondedWithin(MAX_RESPONSE_AGE) && targets.respondedWithin(MAX_RESPONSE_AGE);
  }

  @Override
  public Optional<Position> position() {
    if (operators.nextOffset().isEmpty() || targets.nextOffset().isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new Position(operators.nextOffset().getAsLong(), targets.nextOffset().getAsLong()));
  }

  @Override
  public void applySnapshot(Feed feed, List<KeyedRecord> records, long nextOffset) {
    topic(feed).applySnapshot(records, nextOffset);
  }

  @Override
  public void applyRecords(Feed feed, List<KeyedRecord> records) {
    topic(feed).applyRecords(records);
  }

  @Override
  public void advanceTo(Position position) {
    operators.advanceTo(position.operatorsOffset());
    targets.advanceTo(position.targetsOffset());
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

  private TopicReader topic(Feed feed) {
    return switch (feed) {
      case OPERATORS -> operators;
      case TARGETS -> targets;
    };
  }
}
