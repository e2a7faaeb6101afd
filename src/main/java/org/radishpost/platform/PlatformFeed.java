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
  private static final ReadPace OPERATORS =
      new ReadPace(Duration.ofSeconds(2), Duration.ofMillis(50));

  /** Targets renew their entries all the time, so they are read in batches. */
  private static final ReadPace TARGETS = new ReadPace(Duration.ZERO, Duration.ofMillis(1100));

  /** Others wait for what a relay reads, and it has to tell sooner that it hears nothing. */
  private static final ReadPace OPERATORS_FOR_OTHERS =
      new ReadPace(Duration.ofSeconds(1), Duration.ofMillis(50));

  private static final ReadPace TARGETS_FOR_OTHERS =
      new ReadPace(Duration.ZERO, Duration.ofMillis(600));

  /** The longest time since the store's last answer within which a relay still is one. */
  private static final Duration FRESH = Duration.ofMillis(1500);

  private final KeyedTopic operators;
  private final KeyedTopic targets;

  /**
   * Creates a feed.
   *
   * @param store the client of the store
   * @param zones the availability zones and their regions
   * @param inForce takes each configuration
   * @param directory takes the targets' entries
   * @param relaying whether other VMs wait for what is read here
   * @param publisher takes what is read, for other VMs
   * @param clock the clock and timers
   * @param events where events go
   */
  public PlatformFeed(
      StoreClient store,
      Supplier<Map<ZoneName, RegionName>> zones,
      Consumer<Configuration> inForce,
      TargetDirectory directory,
      BooleanSupplier relaying,
      FeedPublisher publisher,
      Scheduler clock,
      EventSink events) {
    this.operators =
        new KeyedTopic(
            WireNames.OPERATOR_TOPIC,
            Feed.OPERATORS,
            store,
            () -> relaying.getAsBoolean() ? OPERATORS_FOR_OTHERS : OPERATORS,
            new OperatorTopic(inForce, events),
            publisher,
            clock,
            events);
    this.targets =
        new KeyedTopic(
            WireNames.TARGET_TOPIC,
            Feed.TARGETS,
            store,
            () -> relaying.getAsBoolean() ? TARGETS_FOR_OTHERS : TARGETS,
            new TargetTopic(directory, zones, clock, events),
            publisher,
            clock,
            events);
  }

  /** Tells whether the store has answered just now for all that is read. */
  public boolean fresh() {
    return operators.heardWithin(FRESH) && targets.heardWithin(FRESH);
  }

  @Override
  public Optional<Position> position() {
    if (operators.next().isEmpty() || targets.next().isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(new Position(operators.next().getAsLong(), targets.next().getAsLong()));
  }

  @Override
  public void newest(Feed feed, List<KeyedRecord> records, long next) {
    topic(feed).newestPassedOn(records, next);
  }

  @Override
  public void records(Feed feed, List<KeyedRecord> records) {
    topic(feed).passedOn(records);
  }

  @Override
  public void advance(Position upTo) {
    operators.advance(upTo.operators());
    targets.advance(upTo.targets());
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

  private KeyedTopic topic(Feed feed) {
    return switch (feed) {
      case OPERATORS -> operators;
      case TARGETS -> targets;
    };
  }
}
