package org.radishpost.link;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.radishpost.errors.LinkException;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;
import reactor.netty.Connection;

/**
 * One TCP connection to a peer, from the handshake to its close; thread-safe.
 *
 * <p>Frames are read and written on the connection's event loop.
 */
final class LinkConnection implements Link {
  private static final int LENGTH_BYTES = Integer.BYTES;
  private static final int MAX_REPORTED_UNKNOWN_TYPES = 64;
  private static final String FRAMES_HANDLER = "link.frames";

  private final Channel channel;
  private final Connection connection;
  private final Handshake handshake;
  private final LinkOptions options;
  private final LongSupplier configVersion;
  private final Scheduler scheduler;
  private final Listener listener;
  private final boolean dialer;
  private final long openedNanos;
  private final LinkHealth health;
  private final TrafficCounter unauthenticatedTraffic = new TrafficCounter();
  private final SendQueueLimit sendQueueLimit;
  private final AtomicInteger requestsInProgress = new AtomicInteger();
  private final PendingRequests pendingRequests;
  private final Sinks.Empty<Void> closed = Sinks.empty();
  private final Sinks.Empty<Void> handshakeEnded = Sinks.empty();
  private volatile Authentication authentication;
  private volatile boolean open = true;
  private volatile boolean released;
  private final Set<UnknownType> unknownTypes = new HashSet<>();
  private long peerConfigVersion = -1;

  /** A message type and version that this release does not support. */
  private record UnknownType(int type, int version) {}

  /** State that exists once the peer is authenticated. */
  private record Authentication(
      VmEntry peer,
      MacSession session,
      FrameMac sendMac,
      FrameMac receiveMac,
      TrafficCounter traffic) {}

  /** Receives the events of the connection, on its event loop. */
  interface Listener {
    /** Returns the traffic counter of the peer. */
    TrafficCounter trafficCounter(VmId peer);

    /** The peer is authenticated. */
    void authenticated(LinkConnection connection);

    /** The connection is closed; called once. */
    void closed(LinkConnection connection, Optional<Throwable> cause);

    /** A message that expects no response arrived, or the peer's configuration version changed. */
    void messageReceived(VmId peer, LinkMessage message);

    /** Handles a request and returns its response. */
    Mono<LinkMessage> handleRequest(VmId peer, LinkMessage message);

    /** The first frame with an unsupported message type and version arrived. */
    void unsupportedMessage(VmId peer, Frame frame);
  }

  LinkConnection(
      Connection connection,
      Handshake handshake,
      boolean dialer,
      LinkOptions options,
      LongSupplier configVersion,
      Scheduler scheduler,
      Listener listener) {
    this.connection = connection;
    this.channel = connection.channel();
    this.handshake = handshake;
    this.dialer = dialer;
    this.options = options;
    this.configVersion = configVersion;
    this.scheduler = scheduler;
    this.listener = listener;
    this.sendQueueLimit = new SendQueueLimit(options.maxQueuedFrames(), options.maxQueuedBytes());
    this.pendingRequests = new PendingRequests(options.maxPendingRequests());
    this.openedNanos = nowNanos();
    this.health = new LinkHealth(options, openedNanos);
  }

  /**
   * Starts reading and the handshake; closes the connection if the handshake exceeds the connect
   * timeout.
   */
  void start() {
    scheduleClose(() -> authentication == null);
    connection.addHandlerLast(FRAMES_HANDLER, frameDecoder(Frame.MAX_UNAUTHENTICATED_BYTES));
    connection
        .inbound()
        .receive()
        .asByteArray()
        .subscribe(
            this::receive,
            cause -> terminate(Optional.of(cause)),
            () -> terminate(Optional.empty()));
    if (dialer) {
      channel.eventLoop().execute(() -> writeUnauthenticated(handshake.hello()));
    }
  }

  @Override
  public boolean dialer() {
    return dialer;
  }

  @Override
  public long openedNanos() {
    return openedNanos;
  }

  @Override
  public LinkHealth health() {
    return health;
  }

  @Override
  public boolean released() {
    return released;
  }

  boolean authenticated() {
    return authentication != null;
  }

  /** Returns the remote address. */
  String address() {
    return String.valueOf(channel.remoteAddress());
  }

  @Override
  public MacSession session() {
    return authentication.session;
  }

  @Override
  public VmEntry peer() {
    return authentication.peer;
  }

  @Override
  public TrafficCounter traffic() {
    return authentication.traffic;
  }

  @Override
  public boolean hasPendingRequests() {
    return !pendingRequests.isEmpty();
  }

  @Override
  public boolean sendMessage(LinkMessage message) {
    return sendFrame(Frame.of(Frame.Kind.NOTIFICATION, message, 0));
  }

  @Override
  public Mono<LinkMessage> request(LinkMessage message) {
    return pendingRequests.send(
        correlationId -> {
          health.recordUse(nowNanos());
          return sendFrame(Frame.of(Frame.Kind.REQUEST, message, correlationId));
        });
  }

  @Override
  public void sendHeartbeat() {
    enqueueHeartbeat(health.nextHeartbeat(nowNanos(), configVersion.getAsLong()));
  }

  @Override
  public void release() {
    released = true;
    channel.eventLoop().execute(() -> writeAuthenticated(Frame.empty(Frame.Kind.RELEASE).encode()));
    scheduleClose(() -> true);
  }

  @Override
  public void close() {
    channel.eventLoop().execute(() -> connection.dispose());
  }

  /**
   * Returns a publisher that completes when the peer is authenticated or the connection is closed.
   */
  Mono<Void> onHandshakeEnded() {
    return handshakeEnded.asMono();
  }

  @Override
  public Mono<Void> onClosed() {
    return closed.asMono();
  }

  private boolean sendFrame(Frame frame) {
    byte[] bytes = frame.encode();
    if (!open
        || released
        || authentication == null
        || bytes.length + FrameMac.MAC_BYTES > Frame.MAX_BYTES) {
      return false;
    }
    if (!sendQueueLimit.tryReserve(bytes.length)) {
      return false;
    }
    channel.eventLoop().execute(() -> writeAuthenticated(bytes));
    return true;
  }

  private void enqueueHeartbeat(HeartbeatBody heartbeat) {
    if (released) {
      return;
    }
    byte[] bytes = new Frame(Frame.Kind.HEARTBEAT, 0, 0, 0, heartbeat.encode()).encode();
    sendQueueLimit.reserve(bytes.length);
    channel.eventLoop().execute(() -> writeAuthenticated(bytes));
  }

  private void writeAuthenticated(byte[] frame) {
    byte[] mac = authentication.sendMac.compute(frame);
    int bytes = frame.length + mac.length;
    ByteBuf buffer = channel.alloc().buffer(LENGTH_BYTES + bytes);
    buffer.writeInt(bytes).writeBytes(frame).writeBytes(mac);
    authentication.traffic.recordSent(LENGTH_BYTES + bytes);
    channel.writeAndFlush(buffer).addListener(done -> sendQueueLimit.release(frame.length));
  }

  private void writeUnauthenticated(byte[] frame) {
    ByteBuf buffer = channel.alloc().buffer(LENGTH_BYTES + frame.length);
    buffer.writeInt(frame.length).writeBytes(frame);
    unauthenticatedTraffic.recordSent(LENGTH_BYTES + frame.length);
    channel.writeAndFlush(buffer);
  }

  private void receive(byte[] bytes) {
    if (!open) {
      return;
    }
    try {
      if (authentication == null) {
        handleHandshake(bytes);
      } else {
        handleFrame(bytes);
      }
    } catch (LinkException e) {
      terminate(Optional.of(e));
    }
  }

  private void handleHandshake(byte[] bytes) throws LinkException {
    unauthenticatedTraffic.recordReceived(LENGTH_BYTES + bytes.length);
    Handshake.Step step = handshake.receive(bytes);
    step.response().ifPresent(this::writeUnauthenticated);
    if (step.authenticated().isPresent()) {
      completeHandshake(step.authenticated().get());
    }
  }

  private void completeHandshake(Handshake.AuthenticatedPeer authenticatedPeer) {
    VmEntry peer = authenticatedPeer.peer();
    SessionKeys keys = authenticatedPeer.keys();
    MacSession session = new MacSession(peer.id(), keys, () -> health.recordUse(nowNanos()));
    authentication =
        new Authentication(
            peer,
            session,
            new FrameMac(keys.sendFrameKey()),
            new FrameMac(keys.receiveFrameKey()),
            listener.trafficCounter(peer.id()));
    listener.authenticated(this);
    handshakeEnded.tryEmitEmpty();
    channel.pipeline().replace(FRAMES_HANDLER, FRAMES_HANDLER, frameDecoder(Frame.MAX_BYTES));
  }

  private void handleFrame(byte[] frameWithMac) throws LinkException {
    authentication.traffic.recordReceived(LENGTH_BYTES + frameWithMac.length);
    Optional<byte[]> verified = authentication.receiveMac.verify(frameWithMac);
    if (verified.isEmpty()) {
      throw new LinkException(
          "A frame has a wrong MAC. Check the network and proxies between the two VMs.");
    }
    Frame frame = Frame.decode(verified.get());
    switch (frame.kind()) {
      case HEARTBEAT -> handleHeartbeat(HeartbeatBody.decode(frame.body()));
      case NOTIFICATION -> handleNotification(frame);
      case REQUEST -> handleRequest(frame);
      case RESPONSE -> handleResponse(frame);
      case ERROR ->
          pendingRequests.completeWithError(
              frame.correlationId(), Frame.ErrorCode.fromNumber(frame.type()));
      default -> handleRelease();
    }
  }

  private void handleHeartbeat(HeartbeatBody heartbeat) {
    health
        .receive(heartbeat, nowNanos(), configVersion.getAsLong())
        .ifPresent(this::enqueueHeartbeat);
    if (heartbeat.configVersion() != peerConfigVersion) {
      peerConfigVersion = heartbeat.configVersion();
      listener.messageReceived(
          authentication.peer.id(), new LinkMessage.Heartbeat(peerConfigVersion));
    }
  }

  private void handleNotification(Frame frame) throws LinkException {
    Optional<LinkMessage> message = frame.message();
    if (message.isEmpty()) {
      reportUnsupported(frame);
      return;
    }
    listener.messageReceived(authentication.peer.id(), message.get());
  }

  private void handleRequest(Frame frame) throws LinkException {
    Optional<LinkMessage> message = frame.message();
    if (message.isEmpty()) {
      reportUnsupported(frame);
      sendFrame(Frame.error(Frame.ErrorCode.UNSUPPORTED, frame.correlationId()));
      return;
    }
    health.recordUse(nowNanos());
    if (requestsInProgress.incrementAndGet() > options.maxPendingRequests()) {
      requestsInProgress.decrementAndGet();
      sendFrame(Frame.error(Frame.ErrorCode.BUSY, frame.correlationId()));
      return;
    }
    Frame failure = Frame.error(Frame.ErrorCode.FAILED, frame.correlationId());
    Mono.defer(() -> listener.handleRequest(authentication.peer.id(), message.get()))
        .map(response -> Frame.of(Frame.Kind.RESPONSE, response, frame.correlationId()))
        .onErrorReturn(failure)
        .defaultIfEmpty(failure)
        .takeUntilOther(closed.asMono())
        .doFinally(signal -> requestsInProgress.decrementAndGet())
        .subscribe(this::sendFrame);
  }

  private void handleResponse(Frame frame) throws LinkException {
    if (!pendingRequests.isPending(frame.correlationId())) {
      return;
    }
    Optional<LinkMessage> message = frame.message();
    if (message.isPresent()) {
      pendingRequests.complete(frame.correlationId(), message.get());
      return;
    }
    reportUnsupported(frame);
    pendingRequests.completeWithError(frame.correlationId(), Frame.ErrorCode.UNSUPPORTED);
  }

  /**
   * Closes the connection at the end that receives the release. By then this end has read every
   * frame that the peer sent before it.
   */
  private void handleRelease() {
    released = true;
    terminate(Optional.empty());
  }

  private void reportUnsupported(Frame frame) {
    authentication.traffic.recordUnsupported();
    UnknownType unknown = new UnknownType(frame.type(), frame.version());
    if (unknownTypes.size() < MAX_REPORTED_UNKNOWN_TYPES && unknownTypes.add(unknown)) {
      listener.unsupportedMessage(authentication.peer.id(), frame);
    }
  }

  private void terminate(Optional<Throwable> cause) {
    if (!open) {
      return;
    }
    open = false;
    connection.dispose();
    closed.tryEmitEmpty();
    handshakeEnded.tryEmitEmpty();
    pendingRequests.close();
    listener.closed(this, cause);
  }

  private void scheduleClose(BooleanSupplier condition) {
    Disposable timer =
        scheduler.schedule(
            () -> closeIf(condition), options.connectTimeout().toNanos(), TimeUnit.NANOSECONDS);
    connection.onDispose(timer);
  }

  private void closeIf(BooleanSupplier condition) {
    if (condition.getAsBoolean()) {
      close();
    }
  }

  private long nowNanos() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }

  private static LengthFieldBasedFrameDecoder frameDecoder(int maxBytes) {
    return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
  }
}
