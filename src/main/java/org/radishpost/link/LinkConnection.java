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
 * One TCP connection to a peer, first without and then with proof; thread-safe.
 *
 * <p>Frames are read and written on the connection's event loop.
 */
final class LinkConnection implements Link {
  private static final int LENGTH_BYTES = Integer.BYTES;
  private static final int MAX_UNKNOWN_TYPES = 64;
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
  private final TrafficCounter unproved = new TrafficCounter();
  private final SendBound queued;
  private final AtomicInteger asksTaken = new AtomicInteger();
  private final AskTable asks;
  private final Sinks.Empty<Void> closed = Sinks.empty();
  private volatile Proof proof;
  private volatile boolean open = true;
  private volatile boolean released;
  private final Set<UnknownType> unknownTypes = new HashSet<>();
  private long peerConfigVersion = -1;

  /** A type and version that this release does not know. */
  private record UnknownType(int type, int version) {}

  /** What the proof of the peer brought. */
  private record Proof(
      VmEntry peer,
      KeyedSession session,
      FrameSeal sendSeal,
      FrameSeal receiveSeal,
      TrafficCounter traffic) {}

  /** Who is told what happens on the connection; called on its event loop. */
  interface Listener {
    /** Returns the counter for the peer. */
    TrafficCounter counterOf(VmId peer);

    /** The peer has proved itself. */
    void proved(LinkConnection connection);

    /** The connection is gone; called once. */
    void closed(LinkConnection connection, Optional<Throwable> cause);

    /** A message came that asks for no answer. */
    void told(VmId peer, LinkMessage message);

    /** Returns the answer to a message. */
    Mono<LinkMessage> answer(VmId peer, LinkMessage message);

    /** The first frame of a type or version came that is not known. */
    void unsupported(VmId peer, Frame frame);
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
    this.queued = new SendBound(options.queueFrames(), options.queueBytes());
    this.asks = new AskTable(options.pendingAsks());
    this.openedNanos = nowNanos();
    this.health = new LinkHealth(options, openedNanos);
  }

  /** Starts to read, and to prove this end; closes when the peer takes too long to do so. */
  void start() {
    closeLater(() -> proof == null);
    connection.addHandlerLast(FRAMES_HANDLER, frames(Frame.MAX_UNPROVED_BYTES));
    connection
        .inbound()
        .receive()
        .asByteArray()
        .subscribe(this::received, cause -> end(Optional.of(cause)), () -> end(Optional.empty()));
    if (dialer) {
      channel.eventLoop().execute(() -> writePlain(handshake.hello()));
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

  boolean proved() {
    return proof != null;
  }

  /** Returns the address that the connection comes from or goes to. */
  String address() {
    return String.valueOf(channel.remoteAddress());
  }

  @Override
  public KeyedSession session() {
    return proof.session;
  }

  @Override
  public VmEntry peer() {
    return proof.peer;
  }

  @Override
  public TrafficCounter traffic() {
    return proof.traffic;
  }

  @Override
  public boolean busy() {
    return !asks.isEmpty();
  }

  @Override
  public boolean tell(LinkMessage message) {
    return send(Frame.of(Frame.Kind.TELL, message, 0));
  }

  @Override
  public Mono<LinkMessage> ask(LinkMessage message) {
    return asks.ask(
        correlation -> {
          health.used(nowNanos());
          return send(Frame.of(Frame.Kind.ASK, message, correlation));
        });
  }

  @Override
  public void beat() {
    sendUncounted(health.next(nowNanos(), configVersion.getAsLong()));
  }

  @Override
  public void release() {
    released = true;
    channel.eventLoop().execute(() -> write(Frame.empty(Frame.Kind.RELEASE).encode()));
    closeLater(() -> true);
  }

  @Override
  public void close() {
    channel.eventLoop().execute(() -> connection.dispose());
  }

  @Override
  public Mono<Void> onClosed() {
    return closed.asMono();
  }

  private boolean send(Frame frame) {
    byte[] bytes = frame.encode();
    if (!open
        || released
        || proof == null
        || bytes.length + FrameSeal.SEAL_BYTES > Frame.MAX_BYTES) {
      return false;
    }
    if (!queued.take(bytes.length)) {
      return false;
    }
    channel.eventLoop().execute(() -> write(bytes));
    return true;
  }

  private void sendUncounted(Beat beat) {
    if (released) {
      return;
    }
    byte[] bytes = new Frame(Frame.Kind.BEAT, 0, 0, 0, beat.encode()).encode();
    queued.force(bytes.length);
    channel.eventLoop().execute(() -> write(bytes));
  }

  private void write(byte[] frame) {
    byte[] seal = proof.sendSeal.seal(frame);
    int bytes = frame.length + seal.length;
    ByteBuf buffer = channel.alloc().buffer(LENGTH_BYTES + bytes);
    buffer.writeInt(bytes).writeBytes(frame).writeBytes(seal);
    proof.traffic.sent(LENGTH_BYTES + bytes);
    channel.writeAndFlush(buffer).addListener(done -> queued.release(frame.length));
  }

  private void writePlain(byte[] frame) {
    ByteBuf buffer = channel.alloc().buffer(LENGTH_BYTES + frame.length);
    buffer.writeInt(frame.length).writeBytes(frame);
    unproved.sent(LENGTH_BYTES + frame.length);
    channel.writeAndFlush(buffer);
  }

  private void received(byte[] bytes) {
    if (!open) {
      return;
    }
    try {
      if (proof == null) {
        takeProof(bytes);
      } else {
        take(bytes);
      }
    } catch (LinkException e) {
      end(Optional.of(e));
    }
  }

  private void takeProof(byte[] bytes) throws LinkException {
    unproved.received(LENGTH_BYTES + bytes.length);
    Handshake.Step step = handshake.receive(bytes);
    step.reply().ifPresent(this::writePlain);
    if (step.proved().isPresent()) {
      stand(step.proved().get());
    }
  }

  private void stand(Handshake.Proved proved) {
    VmEntry peer = proved.peer();
    SessionKeys keys = proved.keys();
    KeyedSession session = new KeyedSession(peer.id(), keys, () -> health.used(nowNanos()));
    proof =
        new Proof(
            peer,
            session,
            new FrameSeal(keys.sendFrames()),
            new FrameSeal(keys.receiveFrames()),
            listener.counterOf(peer.id()));
    listener.proved(this);
    channel.pipeline().replace(FRAMES_HANDLER, FRAMES_HANDLER, frames(Frame.MAX_BYTES));
  }

  private void take(byte[] sealed) throws LinkException {
    proof.traffic.received(LENGTH_BYTES + sealed.length);
    Optional<byte[]> opened = proof.receiveSeal.open(sealed);
    if (opened.isEmpty()) {
      throw new LinkException(
          "A frame's seal does not fit. Check what stands between the two VMs.");
    }
    Frame frame = Frame.decode(opened.get());
    switch (frame.kind()) {
      case BEAT -> takeBeat(Beat.decode(frame.body()));
      case TELL -> takeTold(frame);
      case ASK -> takeAsk(frame);
      case REPLY -> takeReply(frame);
      case REFUSED -> asks.refuse(frame.correlation(), Frame.Refusal.find(frame.type()));
      default -> takeRelease();
    }
  }

  private void takeBeat(Beat beat) {
    health.received(beat, nowNanos(), configVersion.getAsLong()).ifPresent(this::sendUncounted);
    if (beat.configVersion() != peerConfigVersion) {
      peerConfigVersion = beat.configVersion();
      listener.told(proof.peer.id(), new LinkMessage.Heartbeat(peerConfigVersion));
    }
  }

  private void takeTold(Frame frame) throws LinkException {
    Optional<LinkMessage> message = frame.message();
    if (message.isEmpty()) {
      unsupported(frame);
      return;
    }
    listener.told(proof.peer.id(), message.get());
  }

  private void takeAsk(Frame frame) throws LinkException {
    Optional<LinkMessage> message = frame.message();
    if (message.isEmpty()) {
      unsupported(frame);
      send(Frame.refused(Frame.Refusal.UNSUPPORTED, frame.correlation()));
      return;
    }
    health.used(nowNanos());
    if (asksTaken.incrementAndGet() > options.pendingAsks()) {
      asksTaken.decrementAndGet();
      send(Frame.refused(Frame.Refusal.BUSY, frame.correlation()));
      return;
    }
    Frame failed = Frame.refused(Frame.Refusal.FAILED, frame.correlation());
    Mono.defer(() -> listener.answer(proof.peer.id(), message.get()))
        .map(answer -> Frame.of(Frame.Kind.REPLY, answer, frame.correlation()))
        .onErrorReturn(failed)
        .defaultIfEmpty(failed)
        .takeUntilOther(closed.asMono())
        .doFinally(signal -> asksTaken.decrementAndGet())
        .subscribe(this::send);
  }

  private void takeReply(Frame frame) throws LinkException {
    if (!asks.waits(frame.correlation())) {
      return;
    }
    Optional<LinkMessage> message = frame.message();
    if (message.isPresent()) {
      asks.answer(frame.correlation(), message.get());
      return;
    }
    unsupported(frame);
    asks.refuse(frame.correlation(), Frame.Refusal.UNSUPPORTED);
  }

  /** Closes from this end, so that nothing that the peer sent before is lost. */
  private void takeRelease() {
    released = true;
    end(Optional.empty());
  }

  private void unsupported(Frame frame) {
    proof.traffic.unsupported();
    UnknownType unknown = new UnknownType(frame.type(), frame.version());
    if (unknownTypes.size() < MAX_UNKNOWN_TYPES && unknownTypes.add(unknown)) {
      listener.unsupported(proof.peer.id(), frame);
    }
  }

  private void end(Optional<Throwable> cause) {
    if (!open) {
      return;
    }
    open = false;
    connection.dispose();
    closed.tryEmitEmpty();
    asks.close();
    listener.closed(this, cause);
  }

  private void closeLater(BooleanSupplier condition) {
    Disposable timer =
        scheduler.schedule(
            () -> closeIf(condition), options.connectLimit().toNanos(), TimeUnit.NANOSECONDS);
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

  private static LengthFieldBasedFrameDecoder frames(int maxBytes) {
    return new LengthFieldBasedFrameDecoder(maxBytes, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
  }
}
