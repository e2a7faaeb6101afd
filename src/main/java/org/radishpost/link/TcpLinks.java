package org.radishpost.link;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.DecoderException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.radishpost.errors.LinkException;
import org.radishpost.errors.StartException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;
import reactor.core.Disposable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.resources.LoopResources;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

/**
 * Links over TCP, proved by a shared key; thread-safe.
 *
 * <p>Subscribe to {@link #events}, set the answerer, {@link #start}, then say with {@link
 * #setPersistentPeers} which peers to stay linked to and with {@link #connect} which one is needed
 * for a while. {@link #stop} says farewell first.
 */
public final class TcpLinks implements Links {
  private static final int EVENT_LOOP_THREADS = 2;
  private static final Duration EVENT_LOOP_STOP_TIMEOUT = Duration.ofSeconds(1);

  private final byte[] key;
  private final LinkOptions options;
  private final Scheduler scheduler;
  private final LinkControl control;
  private final EventSink events;
  private final RandomGenerator random;
  private final LongSupplier configVersion;
  private final LoopResources eventLoops = LoopResources.create("link", EVENT_LOOP_THREADS, true);
  private final Set<LinkConnection> unauthenticated = ConcurrentHashMap.newKeySet();
  private volatile BiFunction<VmId, LinkMessage, Mono<LinkMessage>> requestHandler =
      (peer, message) -> Mono.empty();
  private volatile VmEntry self;
  private volatile boolean stopping;
  private volatile Optional<DisposableServer> server = Optional.empty();

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
    this.events = events;
    this.random = random;
    this.configVersion = configVersion;
    this.control =
        new LinkControl(self.id(), options, scheduler, events, random, configVersion, this::dial);
  }

  /**
   * Listens and starts to keep links.
   *
   * @return this VM with the address that it listens on; or {@link StartException}
   */
  public Mono<VmEntry> start() {
    return TcpServer.create()
        .runOn(eventLoops)
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
  public void setPersistentPeers(Set<VmEntry> peers) {
    control.setPersistentPeers(peers);
  }

  @Override
  public void connect(VmEntry entry) {
    control.connect(entry);
  }

  /** Says to all peers that this VM is about to stop; links stay up until {@link #stop}. */
  public void announceShutdown() {
    control.peers().forEach(peer -> sendMessage(peer.id, new LinkMessage.ShutdownNotice()));
  }

  /** Says farewell, closes all links and stops listening. */
  public Mono<Void> stop() {
    return Mono.defer(
        () -> {
          stopping = true;
          server.ifPresent(Disposable::dispose);
          unauthenticated.forEach(LinkConnection::close);
          return control
              .releaseAll()
              .doFinally(signal -> control.dispose())
              .then(eventLoops.disposeLater(Duration.ZERO, EVENT_LOOP_STOP_TIMEOUT));
        });
  }

  /** Returns what went over the links, one for each known peer. */
  public List<PeerTraffic> traffic() {
    return control.peers().stream().map(PeerLinks::snapshot).toList();
  }

  @Override
  public boolean sendMessage(VmId peer, LinkMessage message) {
    return preferred(peer).map(link -> link.sendMessage(message)).orElse(false);
  }

  @Override
  public Mono<LinkMessage> request(VmId peer, LinkMessage message, Duration timeout) {
    return Mono.defer(() -> sendRequest(peer, message))
        .timeout(timeout, scheduler)
        .onErrorMap(
            TimeoutException.class,
            cause ->
                new LinkException(
                    "No answer came from " + peer + " in time. Ask another VM or later.", cause));
  }

  @Override
  public void setRequestHandler(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> handler) {
    requestHandler = handler;
  }

  @Override
  public Flux<PeerEvent> events() {
    return control.events();
  }

  @Override
  public Optional<LinkSession> session(VmId peer) {
    return preferred(peer).map(Link::session);
  }

  @Override
  public Optional<LinkSession> session(VmId peer, String id) {
    return control.peer(peer).flatMap(links -> links.session(id));
  }

  private Mono<LinkMessage> sendRequest(VmId peer, LinkMessage message) {
    Optional<Link> link = preferred(peer);
    return link.isPresent()
        ? link.get().request(message)
        : Mono.error(new LinkException("No link to " + peer + " stands. Ask another VM or later."));
  }

  private Optional<Link> preferred(VmId peer) {
    return control.peer(peer).flatMap(PeerLinks::preferred);
  }

  private VmEntry started(DisposableServer bound) {
    server = Optional.of(bound);
    Endpoint link = new Endpoint(self.link().ip(), bound.port());
    self = new VmEntry(self.id(), self.place(), link, self.hop(), self.leaving());
    control.start();
    return self;
  }

  private void accept(Connection connection) {
    if (stopping || unauthenticated.size() >= options.maxUnauthenticatedConnections()) {
      connection.dispose();
      return;
    }
    startConnection(connection, Handshake.accept(key, self, nonce()), false, new AcceptListener());
  }

  private void dial(VmEntry target) {
    TcpClient.newConnection()
        .runOn(eventLoops)
        .host(target.link().ip())
        .port(target.link().port())
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) options.connectTimeout().toMillis())
        .doOnConnected(connection -> dialed(connection, target))
        .connect()
        .subscribe(connection -> {}, cause -> control.dialFailed(target.id()));
  }

  private void dialed(Connection connection, VmEntry target) {
    startConnection(
        connection, Handshake.dial(key, self, nonce()), true, new DialListener(target.id()));
  }

  private void startConnection(
      Connection connection,
      Handshake handshake,
      boolean dialer,
      LinkConnection.Listener listener) {
    LinkConnection link =
        new LinkConnection(
            connection, handshake, dialer, options, configVersion, scheduler, listener);
    unauthenticated.add(link);
    link.start();
  }

  private byte[] nonce() {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }

  /** Listens to a link that a peer dialed. */
  private class AcceptListener implements LinkConnection.Listener {
    @Override
    public TrafficCounter trafficCounter(VmId peer) {
      return control.findOrCreatePeer(peer).traffic;
    }

    @Override
    public void authenticated(LinkConnection link) {
      unauthenticated.remove(link);
      control.linkUp(link);
    }

    @Override
    public void closed(LinkConnection link, Optional<Throwable> cause) {
      unauthenticated.remove(link);
      cause
          .filter(fault -> fault instanceof LinkException || fault instanceof DecoderException)
          .ifPresent(fault -> control.connectionRefused(link.address(), fault.getMessage()));
      if (link.authenticated()) {
        control.linkClosed(link);
      }
    }

    @Override
    public void messageReceived(VmId peer, LinkMessage message) {
      control.messageReceived(peer, message);
    }

    @Override
    public Mono<LinkMessage> handleRequest(VmId peer, LinkMessage message) {
      return requestHandler.apply(peer, message);
    }

    @Override
    public void unsupportedMessage(VmId peer, Frame frame) {
      events.emit(
          EventCode.LINK_MESSAGE_UNSUPPORTED,
          EventField.of("peer", peer),
          EventField.of("type", frame.type()),
          EventField.of("version", frame.version()));
    }
  }

  /** Listens to a link that this VM dialed. */
  private final class DialListener extends AcceptListener {
    private final VmId dialed;

    DialListener(VmId dialed) {
      this.dialed = dialed;
    }

    @Override
    public void authenticated(LinkConnection link) {
      if (!link.peer().id().equals(dialed)) {
        control.dialFailed(dialed);
      }
      super.authenticated(link);
    }

    @Override
    public void closed(LinkConnection link, Optional<Throwable> cause) {
      if (!link.authenticated()) {
        control.dialFailed(dialed);
      }
      super.closed(link, cause);
    }
  }
}
