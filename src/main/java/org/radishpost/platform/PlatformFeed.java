package org.radishpost.platform;

import java.time.Duration;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.radishpost.config.Configuration;
import org.radishpost.events.EventSink;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ZoneName;
import org.radishpost.placement.TargetDirectory;
import reactor.core.scheduler.Scheduler;

/**
 * Keeps the configuration and the directory of targets as new as the platform's store.
 *
 * <p>Create it, {@link #start()} it once, and {@link #stop()} it once. Confined to the clock's
 * thread.
 */
public final class PlatformFeed {
  /**
   * Desired states are rare, so each is waited for; not for long, as a store that has dropped a
   * wait doesn't say so, and a desired state must be in force within seconds.
   */
  private static final Duration OPERATOR_WAIT = Duration.ofSeconds(2);

  private static final Duration OPERATOR_PACE = Duration.ofMillis(50);

  /** Targets renew their entries all the time, so they are read in batches. */
  private static final Duration TARGET_PACE = Duration.ofMillis(1100);

  private final KeyedTopic operators;
  private final KeyedTopic targets;

  /**
   * Creates a feed.
   *
   * @param store the client of the store
   * @param zones the availability zones and their regions
   * @param inForce takes each configuration
   * @param directory takes the targets' entries
   * @param clock the clock and timers
   * @param events where events go
   */
  public PlatformFeed(
      StoreClient store,
      Supplier<Map<ZoneName, RegionName>> zones,
      Consumer<Configuration> inForce,
      TargetDirectory directory,
      Scheduler clock,
      EventSink events) {
    this.operators =
        new KeyedTopic(
            WireNames.OPERATOR_TOPIC,
            store,
            OPERATOR_WAIT,
            OPERATOR_PACE,
            new OperatorTopic(inForce, events),
            clock,
            events);
    this.targets =
        new KeyedTopic(
            WireNames.TARGET_TOPIC,
            store,
            Duration.ZERO,
            TARGET_PACE,
            new TargetTopic(directory, zones, clock, events),
            clock,
            events);
  }

  /** Begins to read. */
  public void start() {
    operators.start();
    targets.start();
  }

  /** Ends reading. */
  public void stop() {
    operators.stop();
    targets.stop();
  }
}
