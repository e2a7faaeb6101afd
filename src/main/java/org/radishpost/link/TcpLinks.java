package org.radishpost.link;

import io.netty.channel.ChannelOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.radishpost.errors.LinkException;
import org.radishpost.errors.StartException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.VmId;
import org.radishpost.platform.VmEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Links over TCP, proved by a shared key; thread-safe.
 *
 * <p>Subscribe to {@link #events}, set the answerer, {@link #start}, then say with {@link #keep}
 * which peers to stay linked to and with {@link #connect} which one is needed for a while. {@link
 * #stop} says farewell first.
 */
public final class TcpLinks implements Links {
  private static final int EVENT_LOOPS = 2;
  private static final Duration LOOP_STOP_LIMIT = Duration.ofSeconds(1);

  private final byte[] key;
  private final LinkOptions options;
  private final Scheduler scheduler;
  private final Scheduler.Worker control;
  private final EventSink events;
  private final RandomGenerator random;
  private final LongSupplier configVersion;
  private final LoopResources loops = LoopResources.create("link", EVENT_LOOPS, true);
  private final Map<VmId, PeerLinks> peers = new ConcurrentHashMap<>();
  private final Set<LinkConnection> unproved = ConcurrentHashMap.newKeySet();
  private final Sinks.Many<PeerEvent> emitted = Sinks.many().multicast().directBestEffort();
  private final LinkConnection.Listener accepted = new AcceptListener();
  private volatile BiFunction<VmId, LinkMessage, Mono<LinkMessage>> answerer =
      (peer, message) -> Mono.empty();
  private volatile VmEntry self;
  private volatile boolean stopping;
  private volatile DisposableServer server;

  /**
   * Creates links that do not listen yet.
   *
   * @param self this VM; port 0 of its link address stands for any free one
   * @param key the key that all VMs share
   * @param options bounds and intervals
   * @param scheduler runs the control work on one of its workers and gives the time
   * @param events takes the events of the links
   * @param random a cryptographically strong source, for nonces and waits
   * @param configVersion the version of the configuration in force, told with heartbeats
   */
  public TcpLinks(
      VmEntry self,
      byte[] key,
      LinkOptions options,
      Scheduler scheduler,
      EventSink events,
      RandomGenerator random,
      LongSupplier configVersion) {
    this.self = self;
    this.key = key.clone();
    this.options = options;
    this.scheduler = scheduler;
    this.control = scheduler.createWorker();
    this.events = events;
    this.random = random;
    this.configVersion = configVersion;
  }

  /**
   * Listens and starts to keep links.
   *
   * @return this VM with the address that it listens on; or {@link StartException}
   */
  public Mono<VmEntry> start() {
    return TcpServer.create()
        .runOn(loops)
        .host(self.link().ip())
        .port(self.link().port())
        .childOption(ChannelOption.TCP_NODELAY, true)
        .doOnConnection(this::accept)
        .bind()
        .map(this::started)
        .onErrorMap(
            cause ->
                new StartException(
                    "The link address "
                        + self.link()
                        + " cannot be listened on. Free it or change the settings.",
                    cause));
  }

  /** Returns the address that peers reach this VM at. */
  public Endpoint boundAddress() {
    return self.link();
  }

  /** Stays linked to these peers, and lets links to others go when nothing uses them. */
  public void keep(Set<VmEntry> wanted) {
    control.schedule(
        () -> {
          Set<VmId> ids = wanted.stream().map(VmEntry::id).collect(Collectors.toSet());
          peers.values().forEach(peer -> peer.kept = ids.contains(peer.id));
          wanted.forEach(this::keepOne);
          dialAll();
        });
  }

  /** Opens a link to the peer if none stands, and keeps it while it is used. */
  public void connect(VmEntry entry) {
    control.schedule(
        () -> {
          if (entry.id().equals(self.id())) {
            return;
          }
          PeerLinks peer = peerOf(entry.id());
          peer.target = Optional.of(entry);
          peer.demandUntilNanos = nowNanos() + options.demandTime().toNanos();
          dialAll();
        });
  }

  /** Says to all peers that this VM is about to stop; links stay up until {@link #stop}. */
  public void farewell() {
    peers.keySet().forEach(peer -> tell(peer, new LinkMessage.Farewell()));
  }

  /** Says farewell, closes all links and stops listening. */
  public Mono<Void> stop() {
    return Mono.defer(
        () -> {
          farewell();
          stopping = true;
          List<LinkConnection> open = new ArrayList<>(unproved);
          peers.values().forEach(peer -> open.addAll(peer.standing()));
          open.forEach(LinkConnection::close);
          Mono<Void> closed = Mono.when(open.stream().map(LinkConnection::onClosed).toList());
          if (server != null) {
            server.dispose();
          }
          return closed
              .then(loops.disposeLater(Duration.ZERO, LOOP_STOP_LIMIT))
              .doFinally(signal -> control.dispose());
        });
  }

  /** Returns what went over the links, one for each known peer. */
  public List<PeerTraffic> traffic() {
    return peers.values().stream()
        .map(
            peer ->
                peer.traffic.snapshot(
                    peer.id,
                    peer.preferred().map(link -> link.health().roundTripNanos()).orElse(0L)))
        .toList();
  }

  @Override
  public boolean tell(VmId peer, LinkMessage message) {
    return preferred(peer).map(link -> link.tell(message)).orElse(false);
  }

  @Override
  public Mono<LinkMessage> ask(VmId peer, LinkMessage message, Duration limit) {
    return Mono.defer(
            () ->
                preferred(peer)
                    .map(link -> link.ask(message))
                    .orElseGet(
                        () ->
                            Mono.error(
                                new LinkException(
                                    "No link to " + peer + " stands. Ask another VM or later."))))
        .timeout(limit, scheduler)
        .onErrorMap(
            TimeoutException.class,
            cause ->
                new LinkException(
                    "No answer came from " + peer + " in time. Ask another VM or later.", cause));
  }

  @Override
  public void answerWith(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> newAnswerer) {
    answerer = newAnswerer;
  }

  @Override
  public Flux<PeerEvent> events() {
    return emitted.asFlux();
  }

  @Override
  public Optional<LinkSession> session(VmId peer) {
    return preferred(peer).map(LinkConnection::session);
  }

  @Override
  public Optional<LinkSession> session(VmId peer, String id) {
    return Optional.ofNullable(peers.get(peer)).flatMap(links -> links.session(id));
  }

  private Optional<LinkConnection> preferred(VmId peer) {
    return Optional.ofNullable(peers.get(peer)).flatMap(PeerLinks::preferred);
  }

  private VmEntry started(DisposableServer bound) {
    server = bound;
    Endpoint link = new Endpoint(self.link().ip(), bound.port());
    self = new VmEntry(self.id(), self.place(), link, self.hop(), self.leaving());
    long tickNanos = options.beatInterval().toNanos();
    control.schedulePeriodically(this::tick, tickNanos, tickNanos, TimeUnit.NANOSECONDS);
    return self;
  }

  private void accept(Connection connection) {
    if (stopping || unproved.size() >= options.unprovedConnections()) {
      connection.dispose();
      return;
    }
    open(connection, Handshake.accept(key, self, nonce()), false, accepted);
  }

  private void open(
      Connection connection,
      Handshake handshake,
      boolean dialer,
      LinkConnection.Listener listener) {
    LinkConnection link =
        new LinkConnection(
            connection, handshake, dialer, options, configVersion, this::nowNanos, listener);
    unproved.add(link);
    link.start();
  }

  private void keepOne(VmEntry entry) {
    if (!entry.id().equals(self.id())) {
      PeerLinks peer = peerOf(entry.id());
      peer.target = Optional.of(entry);
      peer.kept = true;
    }
  }

  private PeerLinks peerOf(VmId id) {
    return peers.computeIfAbsent(
        id, unknown -> new PeerLinks(self.id(), id, new Backoff(options, random)));
  }

  private void tick() {
    long now = nowNanos();
    closeUnproved(now);
    for (PeerLinks peer : peers.values()) {
      beat(peer, now);
      releaseUseless(peer, now);
      if (peer.announced == PeerLinks.Announced.UP
          && peer.standing().isEmpty()
          && now - peer.lostNanos > silenceNanos()) {
        announceDown(peer, "closed");
      }
    }
    peers.values().removeIf(peer -> forgettable(peer, now));
    dialAll();
  }

  private void closeUnproved(long now) {
    unproved.stream()
        .filter(link -> now - link.openedNanos() > options.connectLimit().toNanos())
        .forEach(LinkConnection::close);
  }

  private void beat(PeerLinks peer, long now) {
    for (LinkConnection link : peer.standing()) {
      switch (link.health().tick(now)) {
        case BEAT -> link.beat();
        case SILENT -> silent(peer, link);
        default -> {}
      }
    }
  }

  private void silent(PeerLinks peer, LinkConnection link) {
    link.close();
    peer.remove(link);
    if (peer.standing().isEmpty()) {
      announceDown(peer, "silent");
    }
  }

  private void releaseUseless(PeerLinks peer, long now) {
    for (LinkConnection link : peer.useless(now, options.busyTime().toNanos())) {
      peer.remove(link);
      link.release();
      if (peer.standing().isEmpty()) {
        announceReleased(peer);
      }
    }
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
        dial(peer);
      }
    }
  }

  private void dial(PeerLinks peer) {
    peer.dialing = true;
    Endpoint address = peer.target.orElseThrow().link();
    TcpClient.newConnection()
        .runOn(loops)
        .host(address.ip())
        .port(address.port())
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) options.connectLimit().toMillis())
        .doOnConnected(
            connection ->
                open(connection, Handshake.dial(key, self, nonce()), true, new DialListener(peer)))
        .connect()
        .subscribe(connection -> {}, cause -> control.schedule(() -> dialFailed(peer)));
  }

  private void dialFailed(PeerLinks peer) {
    peer.dialing = false;
    peer.backoff.failed(nowNanos());
    if (peer.standing().isEmpty()) {
      announceDown(peer, "unreachable");
    }
  }

  private void up(LinkConnection link) {
    VmEntry entry = link.peer();
    PeerLinks peer = peerOf(entry.id());
    peer.traffic = link.traffic();
    peer.add(link);
    peer.backoff.succeeded();
    if (peer.announced != PeerLinks.Announced.UP) {
      events.emit(EventCode.LINK_UP, EventField.of("peer", peer.id));
    }
    peer.announced = PeerLinks.Announced.UP;
    emitted.tryEmitNext(new PeerEvent.Up(entry));
    link.beat();
  }

  private void gone(LinkConnection link) {
    PeerLinks peer = peers.get(link.peer().id());
    if (peer == null || !peer.remove(link) || !peer.standing().isEmpty()) {
      return;
    }
    if (link.released()) {
      announceReleased(peer);
    } else if (peer.farewell) {
      announceDown(peer, "left");
    } else {
      peer.lostNanos = nowNanos();
    }
    dialAll();
  }

  private void announceDown(PeerLinks peer, String why) {
    if (peer.announced == PeerLinks.Announced.DOWN) {
      return;
    }
    peer.announced = PeerLinks.Announced.DOWN;
    events.emit(EventCode.LINK_DOWN, EventField.of("peer", peer.id), EventField.of("why", why));
    emitted.tryEmitNext(new PeerEvent.Down(peer.id));
  }

  private void announceReleased(PeerLinks peer) {
    if (peer.announced == PeerLinks.Announced.UP) {
      peer.announced = PeerLinks.Announced.NOTHING;
      emitted.tryEmitNext(new PeerEvent.Released(peer.id));
    }
  }

  private void told(VmId id, LinkMessage message) {
    if (message instanceof LinkMessage.Farewell) {
      peerOf(id).farewell = true;
    }
    emitted.tryEmitNext(new PeerEvent.Told(id, message));
  }

  private long silenceNanos() {
    return options.missedBeats() * options.beatInterval().toNanos();
  }

  private long nowNanos() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }

  private byte[] nonce() {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }

  /** Listens to links that peers dialed. */
  private class AcceptListener implements LinkConnection.Listener {
    @Override
    public TrafficCounter counterOf(VmId peer) {
      return peerOf(peer).traffic;
    }

    @Override
    public void proved(LinkConnection link) {
      unproved.remove(link);
      control.schedule(() -> up(link));
    }

    @Override
    public void closed(LinkConnection link, Optional<Throwable> cause) {
      unproved.remove(link);
      cause
          .filter(LinkException.class::isInstance)
          .ifPresent(
              fault ->
                  events.emit(EventCode.LINK_REFUSED, EventField.of("why", fault.getMessage())));
      if (link.proved()) {
        control.schedule(() -> gone(link));
      }
    }

    @Override
    public void told(VmId peer, LinkMessage message) {
      control.schedule(() -> TcpLinks.this.told(peer, message));
    }

    @Override
    public Mono<LinkMessage> answer(VmId peer, LinkMessage message) {
      return answerer.apply(peer, message);
    }

    @Override
    public void unsupported(VmId peer, Frame frame) {
      events.emit(
          EventCode.LINK_MESSAGE_UNSUPPORTED,
          EventField.of("peer", peer),
          EventField.of("type", frame.type()),
          EventField.of("version", frame.version()));
    }
  }

  /** Listens to a link that this VM dialed. */
  private final class DialListener extends AcceptListener {
    private final PeerLinks dialed;

    DialListener(PeerLinks dialed) {
      this.dialed = dialed;
    }

    @Override
    public void proved(LinkConnection link) {
      boolean expected = link.peer().id().equals(dialed.id);
      control.schedule(expected ? () -> dialed.dialing = false : () -> dialFailed(dialed));
      super.proved(link);
    }

    @Override
    public void closed(LinkConnection link, Optional<Throwable> cause) {
      if (!link.proved()) {
        control.schedule(() -> dialFailed(dialed));
      }
      super.closed(link, cause);
    }
  }
}
