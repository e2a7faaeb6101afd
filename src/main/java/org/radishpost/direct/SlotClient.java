package org.radishpost.direct;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.radishpost.events.EventSink;
import org.radishpost.feed.RelayDialer;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.ZoneName;
import org.radishpost.suspects.CrashHistory;
import org.radishpost.suspects.CrashUpdate;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Requests slots from the brokers on the relays, over one connection to each relay, and exchanges
 * the known crashes of targets with them.
 *
 * <p>Confined to the clock's thread.
 */
public final class SlotClient {
  private final ZoneName zone;
  private final RelayDialer dialer;
  private final Scheduler clock;
  private final RandomGenerator random;
  private final EventSink events;
  private final CrashHistory crashes;
  private final Map<Endpoint, BrokerConnection> connections = new HashMap<>();

  /**
   * Creates a client without connections.
   *
   * @param zone the zone of this VM
   * @param dialer opens connections to relays
   * @param clock provides time and timers
   * @param random the source of jitter for retries
   * @param events receives an event when a broker becomes available or unavailable
   * @param crashes the crashes that this VM knows; those that it observes itself are sent to the
   *     relays
   */
  public SlotClient(
      ZoneName zone,
      RelayDialer dialer,
      Scheduler clock,
      RandomGenerator random,
      EventSink events,
      CrashHistory crashes) {
    this.zone = zone;
    this.dialer = dialer;
    this.clock = clock;
    this.random = random;
    this.events = events;
    this.crashes = crashes;
    crashes.addListener(this::sendToRelays);
  }

  private void sendToRelays(CrashUpdate update, boolean local) {
    if (local) {
      List.copyOf(connections.values()).forEach(connection -> connection.sendUpdate(update));
    }
  }

  /** Sets the relays, and connects to those that are new. */
  public void setRelays(List<Endpoint> relays) {
    for (Endpoint known : List.copyOf(connections.keySet())) {
      if (!relays.contains(known)) {
        connections.remove(known).close();
      }
    }
    for (Endpoint relay : relays) {
      connections.computeIfAbsent(
          relay,
          address -> new BrokerConnection(address, zone, dialer, clock, random, events, crashes));
    }
    tick();
  }

  /** Connects again to relays whose connection was closed; called periodically. */
  public void tick() {
    long now = clock.now(TimeUnit.NANOSECONDS);
    connections.values().forEach(connection -> connection.tick(now));
  }

  /** Returns whether a broker of the targets of the region can be asked. */
  boolean available(RegionName region) {
    return connection(region).isPresent();
  }

  /** Requests a slot of a target. */
  Mono<SlotReply> request(SlotDemand demand) {
    return connection(demand.region())
        .map(connection -> connection.request(demand))
        .orElseGet(() -> Mono.just(new SlotReply.Unavailable()));
  }

  /**
   * Returns the connection to the broker of a region: the relay in that region, or while there is
   * none, another one, which is the same for all VMs that can connect to it.
   */
  private Optional<BrokerConnection> connection(RegionName region) {
    long now = clock.now(TimeUnit.NANOSECONDS);
    return connections.values().stream()
        .filter(connection -> connection.usable(now))
        .min(
            Comparator.comparing((BrokerConnection connection) -> !connection.isIn(region))
                .thenComparing(connection -> connection.rank(region)));
  }
}
