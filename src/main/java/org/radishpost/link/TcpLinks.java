package org.radishpost.link;

import io.netty.channel.ChannelOption;
import io.netty.handler.codec.DecoderException;
import java.time.Duration;
import java.util.ArrayList;
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
 * Links over TCP, authenticated by a shared key; thread-safe.
 *
 * <p>Subscribe to {@link #events} and set the request handler before {@link #start}. Then set the
 * peers to stay linked to with {@link #setPersistentPeers}, and open further links on demand with
 * {@link #connect}. {@link #stop} sends a shutdown notice before it closes the links.
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
   * Creates links that do not listen before {@link #start}.
   *
   * @param self this VM; port 0 in its link address selects any free port
   * @param key the key that all VMs share
   * @param options limits and intervals
   * @param scheduler runs the link control on one of its workers and provides the time
   * @param events receives the log events of the links
   * @param random a cryptographically strong source, for nonces and backoff
   * @param configVersion returns the version of the active configuration, sent in heartbeats
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
   * Starts listening and maintaining links.
   *
   * @return this VM with the address that it listens on, or a {@link StartException}
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
                    "Cannot listen on the link address "
                        + self.link()
                        + ". Free the address or change the settings.",
                    cause));
  }

  /** Returns the address at which peers reach this VM. */
  public Endpoint boundAddress() {
    return self.link();
  }

  /**
   * Keeps links to these peers open. Links to other peers are released when they are no longer
   * used.
   */
  public void setPersistentPeers(Set<VmEntry> peers) {
    control.setPersistentPeers(peers);
  }

  @Override
  public void connect(VmEntry entry) {
    control.connect(entry);
  }

  /** Notifies all peers that this VM is about to stop. Links stay open until {@link #stop}. */
  public void announceShutdown() {
    control.peers().forEach(peer -> sendMessage(peer.id, new LinkMessage.ShutdownNotice()));
  }

  /**
   * Stops listening, sends a shutdown notice to all peers and closes all links. Waits for the
   * handshakes that this VM has begun, because the peer may have completed them already and must
   * receive the notice too.
   */
  public Mono<Void> stop() {
    return Mono.defer(
        () -> {
          stopping = true;
          server.ifPresent(Disposable::dispose);
          return endHandshakes()
              .then(Mono.defer(control::releaseAll))
              .doFinally(signal -> control.dispose())
              .then(eventLoops.disposeLater(Duration.ZERO, EVENT_LOOP_STOP_TIMEOUT));
        });
  }

  private Mono<Void> endHandshakes() {
    List<Mono<Void>> begun = new ArrayList<>();
    for (LinkConnection link : unauthenticated) {
      if (link.dialer()) {
        begun.add(link.onHandshakeEnded());
      } else {
        link.close();
      }
    }
    return Mono.when(begun);
  }

  /** Returns the traffic counts of each known peer. */
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
                    "No response from " + peer + " in time. Retry later or on another VM.", cause));
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
        : Mono.error(
            new LinkException("No link to " + peer + " is open. Retry later or on another VM."));
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
    if (stopping) {
      connection.dispose();
      return;
    }
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

  /** Handles the events of a connection that a peer dialed. */
  private class AcceptListener implements LinkConnection.Listener {
    @Override
    public TrafficCounter trafficCounter(VmId peer) {
      return control.findOrCreatePeer(peer).traffic;
    }

    @Override
    public void authenticated(LinkConnection link) {
      control.linkUp(link);
      unauthenticated.remove(link);
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

  /** Handles the events of a connection that this VM dialed. */
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
