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
 * Decides which links are opened, used, given up and announced; knows nothing of sockets.
 *
 * <p>Any thread may call it; all work is done in order on one worker of the scheduler.
 */
final class LinkControl {
  private static final int HANDSHAKE_ROUND_TRIPS = 4;
  private static final long REFUSAL_REPORT_NANOS = Duration.ofSeconds(1).toNanos();

  private final VmId self;
  private final LinkOptions options;
  private final Scheduler scheduler;
  private final Scheduler.Worker worker;
  private final EventSink events;
  private final RandomGenerator random;
  private final LongSupplier configVersion;
  private final Consumer<VmEntry> dialer;
  private final Map<VmId, PeerLinks> peers = new ConcurrentHashMap<>();
  private final Sinks.Many<PeerEvent> emitted = Sinks.many().multicast().directBestEffort();
  private volatile boolean stopping;
  private long refusals;
  private long refusalReportedNanos;

  /**
   * Creates one that does nothing yet.
   *
   * @param dialer opens a connection to a peer; the outcome comes back as {@link #up} or {@link
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
    long tickNanos = options.beatInterval().toNanos();
    worker.schedulePeriodically(this::tick, tickNanos, tickNanos, TimeUnit.NANOSECONDS);
  }

  /** Opens no more links, says farewell on those that stand and releases them; once only. */
  Mono<Void> releaseAll() {
    stopping = true;
    Sinks.Empty<Void> released = Sinks.empty();
    run(
        () -> {
          List<Link> standing =
              peers.values().stream().flatMap(peer -> peer.standing().stream()).toList();
          standing.forEach(link -> link.tell(new LinkMessage.Farewell()));
          standing.forEach(Link::release);
          Mono.when(standing.stream().map(Link::onClosed).toList())
              .subscribe(nothing -> {}, released::tryEmitError, released::tryEmitEmpty);
        });
    return released.asMono();
  }

  void dispose() {
    stopping = true;
    worker.dispose();
  }

  Flux<PeerEvent> events() {
    return emitted.asFlux();
  }

  Collection<PeerLinks> peers() {
    return peers.values();
  }

  Optional<PeerLinks> peer(VmId id) {
    return Optional.ofNullable(peers.get(id));
  }

  PeerLinks peerOf(VmId id) {
    return peers.computeIfAbsent(
        id, unknown -> new PeerLinks(self, id, new Backoff(options, random)));
  }

  /** Stays linked to these peers, and lets links to others go when nothing uses them. */
  void keep(Set<VmEntry> wanted) {
    run(
        () -> {
          Set<VmId> ids = wanted.stream().map(VmEntry::id).collect(Collectors.toSet());
          peers.values().forEach(peer -> peer.kept = ids.contains(peer.id));
          wanted.forEach(this::keepOne);
          dialAll();
        });
  }

  /** Opens a link to the peer if none stands, and keeps it while it is used. */
  void connect(VmEntry entry) {
    run(
        () -> {
          if (!entry.id().equals(self)) {
            PeerLinks peer = peerOf(entry.id());
            peer.target = Optional.of(entry);
            peer.demandUntilNanos = nowNanos() + options.demandTime().toNanos();
            dialAll();
          }
        });
  }

  /** Notes a new link; its peer is not always the one that was dialed. */
  void up(Link link) {
    run(
        () -> {
          PeerLinks peer = peerOf(link.peer().id());
          peer.dialing = peer.dialing && !link.dialer();
          peer.traffic = link.traffic();
          peer.add(link);
          if (peer.announced != PeerLinks.Announced.UP) {
            events.emit(EventCode.LINK_UP, EventField.of("peer", peer.id));
          }
          peer.announced = PeerLinks.Announced.UP;
          emitted.tryEmitNext(new PeerEvent.Up(link.peer()));
          link.beat();
        });
  }

  /** Notes that the peer could not be reached, or that another one proved itself at its address. */
  void dialFailed(VmId dialed) {
    run(
        () -> {
          PeerLinks peer = peerOf(dialed);
          peer.dialing = false;
          peer.backoff.failed(nowNanos());
          if (peer.standing().isEmpty()) {
            announceDown(peer, "unreachable");
          }
        });
  }

  /** Notes that a link is closed. */
  void gone(Link link) {
    run(
        () -> {
          PeerLinks peer = peers.get(link.peer().id());
          if (peer == null || !peer.remove(link) || !peer.standing().isEmpty()) {
            return;
          }
          peer.lostNanos = nowNanos();
          if (peer.farewell) {
            announceDown(peer, "left");
          } else if (link.released()) {
            announceReleased(peer);
          }
          dialAll();
        });
  }

  /** Notes a message of a peer. */
  void told(VmId id, LinkMessage message) {
    run(
        () -> {
          PeerLinks peer = peers.get(id);
          if (peer == null || peer.standing().isEmpty()) {
            return;
          }
          peer.farewell = peer.farewell || message instanceof LinkMessage.Farewell;
          emitted.tryEmitNext(new PeerEvent.Told(id, message));
        });
  }

  /** Reports a refused connection, not more often than the log can bear. */
  void refused(String address, String why) {
    run(
        () -> {
          refusals++;
          long now = nowNanos();
          if (refusals > 1 && now - refusalReportedNanos < REFUSAL_REPORT_NANOS) {
            return;
          }
          refusalReportedNanos = now;
          events.emit(
              EventCode.LINK_REFUSED,
              EventField.of("address", address),
              EventField.of("refusals", refusals),
              EventField.of("why", why));
        });
  }

  long nowNanos() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }

  private void keepOne(VmEntry entry) {
    if (!entry.id().equals(self)) {
      PeerLinks peer = peerOf(entry.id());
      peer.target = Optional.of(entry);
      peer.kept = true;
    }
  }

  private void tick() {
    long now = nowNanos();
    for (PeerLinks peer : peers.values()) {
      beat(peer, now);
      peer.forgiveFailures(now, options.reconnectMost().toNanos());
      releaseUseless(peer, now);
      if (overdue(peer, now)) {
        announceDown(peer, "closed");
      }
    }
    peers.values().removeIf(peer -> forgettable(peer, now));
    dialAll();
  }

  private void beat(PeerLinks peer, long now) {
    for (Link link : peer.standing()) {
      switch (link.health().tick(now, configVersion.getAsLong())) {
        case BEAT -> link.beat();
        case SILENT -> silent(peer, link);
        default -> {}
      }
    }
  }

  private void silent(PeerLinks peer, Link link) {
    link.close();
    peer.remove(link);
    peer.backoff.failed(nowNanos());
    if (peer.standing().isEmpty()) {
      announceDown(peer, "silent");
    }
  }

  private void releaseUseless(PeerLinks peer, long now) {
    for (Link link : peer.useless(now, options.busyTime().toNanos())) {
      peer.remove(link);
      link.release();
      if (peer.standing().isEmpty()) {
        announceReleased(peer);
      }
    }
  }

  private boolean overdue(PeerLinks peer, long now) {
    long graceNanos =
        options.missedBeats() * options.beatInterval().toNanos()
            + HANDSHAKE_ROUND_TRIPS * peer.roundTripNanos;
    return peer.announced == PeerLinks.Announced.UP
        && peer.standing().isEmpty()
        && now - peer.lostNanos > graceNanos;
  }

  private boolean forgettable(PeerLinks peer, long now) {
    return !peer.wanted(now)
        && !peer.dialing
        && peer.standing().isEmpty()
        && peer.announced != PeerLinks.Announced.UP;
  }

  private void dialAll() {
    long now = nowNanos();
    for (PeerLinks peer : peers.values()) {
      if (!stopping && peer.shouldDial(now)) {
        peer.dialing = true;
        dialer.accept(peer.target.orElseThrow());
      }
    }
  }

  private void announceDown(PeerLinks peer, String why) {
    if (peer.announced != PeerLinks.Announced.DOWN) {
      events.emit(EventCode.LINK_DOWN, EventField.of("peer", peer.id), EventField.of("why", why));
    }
    peer.announced = PeerLinks.Announced.DOWN;
    emitted.tryEmitNext(new PeerEvent.Down(peer.id));
  }

  private void announceReleased(PeerLinks peer) {
    if (peer.announced == PeerLinks.Announced.UP) {
      peer.announced = PeerLinks.Announced.NOTHING;
      emitted.tryEmitNext(new PeerEvent.Released(peer.id));
    }
  }

  private void run(Runnable work) {
    try {
      worker.schedule(work);
    } catch (RejectedExecutionException stopped) {
      if (!stopping) {
        throw stopped;
      }
    }
  }
}
