package org.radishpost.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.radishpost.errors.LinkException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.errors.RadishpostException;
import org.radishpost.events.HybridClock;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.VmId;
import org.radishpost.link.LinkSession;
import org.radishpost.link.Links;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;
import org.radishpost.store.VmEntry;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Forwards calls to the VM that owns their pool.
 *
 * <p>Thread-safe. A call is forwarded only while an authenticated link to the owner is established.
 * Its head is authenticated with the key of the link session.
 */
public final class HopClient implements HopSender {
  private final VmId self;
  private final HopTimestamps timestamps;
  private final HttpSender sender;
  private final Links links;
  private final Scheduler clock;
  private final Map<HopCallKey, CallBody> pendingBodies = new ConcurrentHashMap<>();

  /**
   * Creates a client.
   *
   * @param self the ID of this VM
   * @param sender sends the calls to other VMs, with the options {@link SenderOptions#forHops}
   * @param links the links to other VMs, whose sessions authenticate the calls
   * @param clock the clock for deadlines
   * @param hybridClock the clock for event timestamps of this VM
   */
  public HopClient(
      VmId self, HttpSender sender, Links links, Scheduler clock, HybridClock hybridClock) {
    this.timestamps = new HopTimestamps(hybridClock);
    this.self = self;
    this.sender = sender;
    this.links = links;
    this.clock = clock;
  }

  @Override
  public Mono<CallResult> send(Call call, PoolId pool, VmEntry owner) {
    Optional<LinkSession> session = links.session(owner.id());
    if (session.isEmpty()) {
      links.connect(owner);
      return Mono.just(
          new CallResult.Unreachable(
              new LinkException(
                  "No link to VM " + owner.id() + ": wait until it is established again.")));
    }
    long sequence = session.get().nextSequence();
    long remainingNanos = call.info().deadlineNanos() - clock.now(TimeUnit.NANOSECONDS);
    if (remainingNanos <= 0) {
      return Mono.just(new CallResult.HandedBack(HandBackReason.TOO_LATE, Optional.empty()));
    }
    HopCallKey key = new HopCallKey(owner.id(), sequence);
    pendingBodies.put(key, call.body());
    return sender
        .send(
            owner.hop(),
            hopRequestHead(call, pool, session.get(), sequence, remainingNanos),
            call.body(),
            Duration.ofNanos(remainingNanos))
        .map(response -> toCallResult(response, pool))
        .onErrorResume(RadishpostException.class, error -> Mono.just(failureResult(error)))
        .doFinally(signal -> pendingBodies.remove(key));
  }

  @Override
  public void onTargetAccepted(VmId owner, long sequence) {
    CallBody body = pendingBodies.get(new HopCallKey(owner, sequence));
    if (body != null) {
      body.allowRemainder();
    }
  }

  private RequestHead hopRequestHead(
      Call call, PoolId pool, LinkSession session, long sequence, long remainingNanos) {
    HopRequestFields fields =
        new HopRequestFields(
            call.head().method(),
            call.head().target(),
            pool,
            call.info().gateway().value(),
            call.info().route(),
            Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos)),
            call.info().depth(),
            call.retriesLeft(),
            call.info().fingerprint(),
            call.idempotencyKey(),
            call.head().headers().get("content-length", ""));
    HttpHeaders headers = call.head().headers().copy();
    fields.writeTo(headers);
    headers.set(HeaderNames.HOP_STAMP, timestamps.next());
    headers.set(HeaderNames.HOP_VM, HopRequestFields.encode(self.value()));
    headers.set(HeaderNames.HOP_SESSION, session.id());
    headers.set(HeaderNames.HOP_SEQUENCE, sequence);
    headers.set(HeaderNames.HOP_ID, session.id() + "-" + sequence);
    headers.set(HeaderNames.HOP_MAC, session.mac(sequence, fields.authenticatedText()).hex());
    return new RequestHead(call.head().method(), call.head().target(), headers);
  }

  private CallResult toCallResult(Response response, PoolId pool) {
    timestamps.mergeAndRemove(response.headers());
    String resultText = response.headers().get(HeaderNames.HOP_RESULT);
    Optional<PoolView> view =
        PoolViewHeader.parse(pool, response.headers().get(HeaderNames.HOP_VIEW));
    response
        .headers()
        .remove(HeaderNames.HOP_RESULT)
        .remove(HeaderNames.HOP_VIEW)
        .remove(HeaderNames.HOP_ID);
    HopResult hopResult = HopResult.parse(resultText);
    if (hopResult instanceof HopResult.Responded) {
      return new CallResult.Responded(response, view);
    }
    response.body().subscribe(part -> part.release(), error -> {});
    return switch (hopResult) {
      case HopResult.Responded responded -> new CallResult.Responded(response, view);
      case HopResult.HandedBack handedBack -> new CallResult.HandedBack(handedBack.reason(), view);
      case HopResult.Shed shed -> new CallResult.Shed(view);
      case HopResult.Lost lost -> new CallResult.Lost(lost.cause(), view);
      case HopResult.NotAuthenticated notAuthenticated ->
          new CallResult.Unreachable(
              new LinkException(
                  "The other VM rejected the MAC: check that both VMs have the same key."));
    };
  }

  private static CallResult failureResult(RadishpostException error) {
    return error instanceof NotConnectedException
        ? new CallResult.Unreachable(error)
        : new CallResult.Lost(error, Optional.empty());
  }

  /**
   * Identifies a call that has been sent to an owner.
   *
   * @param owner the owner of the pool
   * @param sequence the sequence number of the call within the session
   */
  private record HopCallKey(VmId owner, long sequence) {}
}
