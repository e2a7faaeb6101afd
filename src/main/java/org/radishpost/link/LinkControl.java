package org.radishpost.link;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * Decides when links are opened, closed and released, and emits the peer events; does no I/O
 * itself.
 *
 * <p>Thread-safe: all state changes run in order on one worker of the scheduler.
 */
final class LinkControl {
  private static final int HANDSHAKE_ROUND_TRIPS = 4;
  private static final long REFUSAL_REPORT_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

  private final VmId self;
  private final LinkOptions options;
  private final Scheduler scheduler;
  private final Scheduler.Worker worker;
  private final EventSink events;
  private final RandomGenerator random;
  private final LongSupplier configVersion;
  private final Consumer<VmEntry> dialer;
  private final Map<VmId, PeerLinks> peers = new ConcurrentHashMap<>();
  private final Sinks.Many<PeerEvent> peerEvents = Sinks.many().multicast().directBestEffort();
  private volatile boolean stopping;
  private long refusals;
  private long lastRefusalReportNanos;

  /**
   * Creates the control, which is idle until {@link #start}.
   *
   * @param dialer opens a connection to a peer and reports the outcome by {@link #linkUp} or {@link
   *     #dialFailed}
   */
  LinkControl(
      VmId self,
      LinkOptions options,
      Scheduler scheduler,
      EventSink events,
      RandomGenerator random,
      LongSupplier configVersion,
      Consumer<VmEntry> dialer) {
    this.self = self;
    this.options = options;
    this.scheduler = scheduler;
    this.worker = scheduler.createWorker();
    this.events = events;
    this.random = random;
    this.configVersion = configVersion;
    this.dialer = dialer;
  }

  void start() {
    long tickIntervalNanos = options.heartbeatInterval().toNanos();
    worker.schedulePeriodically(
        this::tick, tickIntervalNanos, tickIntervalNanos, TimeUnit.NANOSECONDS);
  }

  /**
   * Stops dialing, sends a shutdown notice on all open links and releases them; must be called once
   * only.
   */
  Mono<Void> releaseAll() {
    stopping = true;
    Sinks.Empty<Void> released = Sinks.empty();
    execute(
        () -> {
          List<Link> openLinks =
              peers.values().stream().flatMap(peer -> peer.openLinks().stream()).toList();
          openLinks.forEach(link -> link.sendMessage(new LinkMessage.ShutdownNotice()));
          openLinks.forEach(Link::release);
          Mono.when(openLinks.stream().map(Link::onClosed).toList())
              .subscribe(nothing -> {}, released::tryEmitError, released::tryEmitEmpty);
        });
    return released.asMono();
  }

  void dispose() {
    stopping = true;
    worker.dispose();
  }

  Flux<PeerEvent> events() {
    return peerEvents.asFlux();
  }

  Collection<PeerLinks> peers() {
    return peers.values();
  }

  Optional<PeerLinks> peer(VmId id) {
    return Optional.ofNullable(peers.get(id));
  }

  PeerLinks findOrCreatePeer(VmId id) {
    return peers.computeIfAbsent(
        id, unknown -> new PeerLinks(self, id, new ReconnectBackoff(options, random)));
  }

  /**
   * Keeps links to these peers open. Links to other peers are released when they are no longer
   * used.
   */
  void setPersistentPeers(Set<VmEntry> entries) {
    execute(
        () -> {
          Set<VmId> ids = entries.stream().map(VmEntry::id).collect(Collectors.toSet());
          peers.values().forEach(peer -> peer.persistent = ids.contains(peer.id));
          entries.forEach(this::markPersistent);
          dialDuePeers();
        });
  }

  /**
   * Opens a link to the peer if none is open, and keeps it for {@link LinkOptions#onDemandTime} and
   * for as long as it is used.
   */
  void connect(VmEntry entry) {
    execute(
        () -> {
          if (!entry.id().equals(self)) {
            PeerLinks peer = findOrCreatePeer(entry.id());
            peer.dialTarget = Optional.of(entry);
            peer.onDemandUntilNanos = nowNanos() + options.onDemandTime().toNanos();
            dialDuePeers();
          }
        });
  }

  /** Records a new link. Its peer may differ from the one that was dialed. */
  void linkUp(Link link) {
    execute(
        () -> {
          PeerLinks peer = findOrCreatePeer(link.peer().id());
          peer.dialing = peer.dialing && !link.dialer();
          peer.traffic = link.traffic();
          peer.add(link);
          if (peer.announced != PeerLinks.AnnouncedState.UP) {
            events.emit(EventCode.LINK_UP, EventField.of("peer", peer.id));
          }
          peer.announced = PeerLinks.AnnouncedState.UP;
          peerEvents.tryEmitNext(new PeerEvent.Up(link.peer()));
          link.sendHeartbeat();
        });
  }

  /**
   * Records that the peer could not be reached, or that another VM authenticated at its address.
   */
  void dialFailed(VmId id) {
    execute(
        () -> {
          PeerLinks peer = findOrCreatePeer(id);
          peer.dialing = false;
          peer.backoff.recordFailure(nowNanos());
          if (peer.openLinks().isEmpty()) {
            announceDown(peer, "unreachable");
          }
        });
  }

  /** Records that a link was closed. */
  void linkClosed(Link link) {
    execute(
        () -> {
          PeerLinks peer = peers.get(link.peer().id());
          if (peer == null || !peer.remove(link) || !peer.openLinks().isEmpty()) {
            return;
          }
          peer.lastLinkClosedNanos = nowNanos();
          if (peer.shuttingDown) {
            announceDown(peer, "left");
          } else if (link.released()) {
            announceReleased(peer);
          }
          dialDuePeers();
        });
  }

  /** Records a message of a peer and emits it. */
  void messageReceived(VmId id, LinkMessage message) {
    execute(
        () -> {
          PeerLinks peer = peers.get(id);
          if (peer == null || peer.openLinks().isEmpty()) {
            return;
          }
          peer.shuttingDown = peer.shuttingDown || message instanceof LinkMessage.ShutdownNotice;
          peerEvents.tryEmitNext(new PeerEvent.MessageReceived(id, message));
        });
  }

  /** Counts a refused connection; logs at most one event per second, with the total count. */
  void connectionRefused(String address, String reason) {
    execute(
        () -> {
          refusals++;
          long nowNanos = nowNanos();
          if (refusals > 1 && nowNanos - lastRefusalReportNanos < REFUSAL_REPORT_INTERVAL_NANOS) {
            return;
          }
          lastRefusalReportNanos = nowNanos;
          events.emit(
              EventCode.LINK_REFUSED,
              EventField.of("address", address),
              EventField.of("refusals", refusals),
              EventField.of("why", reason));
        });
  }

  long nowNanos() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }

  private void markPersistent(VmEntry entry) {
    if (!entry.id().equals(self)) {
      PeerLinks peer = findOrCreatePeer(entry.id());
      peer.dialTarget = Optional.of(entry);
      peer.persistent = true;
    }
  }

  private void tick() {
    long nowNanos = nowNanos();
    for (PeerLinks peer : peers.values()) {
      checkHeartbeats(peer, nowNanos);
      peer.resetBackoffIfStable(nowNanos, options.maxReconnectDelay().toNanos());
      releaseUnneeded(peer, nowNanos);
      if (isReconnectOverdue(peer, nowNanos)) {
        announceDown(peer, "closed");
      }
    }
    peers.values().removeIf(peer -> isRemovable(peer, nowNanos));
    dialDuePeers();
  }

  private void checkHeartbeats(PeerLinks peer, long nowNanos) {
    for (Link link : peer.openLinks()) {
      switch (link.health().tick(nowNanos, configVersion.getAsLong())) {
        case HEARTBEAT_DUE -> link.sendHeartbeat();
        case TIMED_OUT -> handleTimeout(peer, link);
        default -> {}
      }
    }
  }

  private void handleTimeout(PeerLinks peer, Link link) {
    link.close();
    peer.remove(link);
    peer.backoff.recordFailure(nowNanos());
    if (peer.openLinks().isEmpty()) {
      announceDown(peer, "silent");
    }
  }

  private void releaseUnneeded(PeerLinks peer, long nowNanos) {
    for (Link link : peer.unneededLinks(nowNanos, options.busyTime().toNanos())) {
      peer.remove(link);
      link.release();
      if (peer.openLinks().isEmpty()) {
        announceReleased(peer);
      }
    }
  }

  private boolean isReconnectOverdue(PeerLinks peer, long nowNanos) {
    long graceNanos =
        options.maxMissedHeartbeats() * options.heartbeatInterval().toNanos()
            + HANDSHAKE_ROUND_TRIPS * peer.lastRoundTripNanos;
    return peer.announced == PeerLinks.AnnouncedState.UP
        && peer.openLinks().isEmpty()
        && nowNanos - peer.lastLinkClosedNanos > graceNanos;
  }

  private boolean isRemovable(PeerLinks peer, long nowNanos) {
    return !peer.isLinkNeeded(nowNanos)
        && !peer.dialing
        && peer.openLinks().isEmpty()
        && peer.announced != PeerLinks.AnnouncedState.UP;
  }

  private void dialDuePeers() {
    long nowNanos = nowNanos();
    for (PeerLinks peer : peers.values()) {
      if (!stopping && peer.shouldDial(nowNanos)) {
        peer.dialing = true;
        dialer.accept(peer.dialTarget.orElseThrow());
      }
    }
  }

  private void announceDown(PeerLinks peer, String reason) {
    if (peer.announced != PeerLinks.AnnouncedState.DOWN) {
      events.emit(
          EventCode.LINK_DOWN, EventField.of("peer", peer.id), EventField.of("why", reason));
    }
    peer.announced = PeerLinks.AnnouncedState.DOWN;
    peerEvents.tryEmitNext(new PeerEvent.Down(peer.id));
  }

  private void announceReleased(PeerLinks peer) {
    if (peer.announced == PeerLinks.AnnouncedState.UP) {
      peer.announced = PeerLinks.AnnouncedState.NONE;
      peerEvents.tryEmitNext(new PeerEvent.Released(peer.id));
    }
  }

  private void execute(Runnable task) {
    try {
      worker.schedule(task);
    } catch (RejectedExecutionException stopped) {
      if (!stopping) {
        throw stopped;
      }
    }
  }
}
