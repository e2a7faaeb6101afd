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
 * Sends calls to the VM that owns a pool.
 *
 * <p>Thread-safe. A call is sent only while an authenticated link to the owner stands; its head is
 * proved with the session's key.
 */
public final class HopClient implements Hops {
  private final VmId self;
  private final HopStamps stamps;
  private final HttpSender sender;
  private final Links links;
  private final Scheduler clock;
  private final Map<HopCall, CallBody> waiting = new ConcurrentHashMap<>();

  /**
   * Creates a client.
   *
   * @param self this VM
   * @param sender the connections to other VMs
   * @param links the links, whose sessions prove the calls
   * @param clock the clock
   * @param stamps the clock of this VM's time line
   */
  public HopClient(VmId self, HttpSender sender, Links links, Scheduler clock, HybridClock stamps) {
    this.stamps = new HopStamps(stamps);
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
              new LinkException("No link to VM " + owner.id() + ": wait until it stands again.")));
    }
    long sequence = session.get().nextSequence();
    long leftNanos = call.info().deadlineNanos() - clock.now(TimeUnit.NANOSECONDS);
    if (leftNanos <= 0) {
      return Mono.just(new CallResult.HandedBack(HandBackReason.TOO_LATE, Optional.empty()));
    }
    HopCall key = new HopCall(owner.id(), sequence);
    waiting.put(key, call.body());
    return sender
        .send(
            owner.hop(),
            onward(call, pool, session.get(), sequence, leftNanos),
            call.body(),
            Duration.ofNanos(leftNanos))
        .map(reply -> result(reply, pool))
        .onErrorResume(RadishpostException.class, error -> Mono.just(failed(error)))
        .doFinally(signal -> waiting.remove(key));
  }

  @Override
  public void taken(VmId owner, long sequence) {
    CallBody body = waiting.get(new HopCall(owner, sequence));
    if (body != null) {
      body.take();
    }
  }

  private RequestHead onward(
      Call call, PoolId pool, LinkSession session, long sequence, long leftNanos) {
    HopHead hop =
        new HopHead(
            call.head().method(),
            call.head().target(),
            pool,
            call.info().gateway().value(),
            call.info().route(),
            Math.max(1, TimeUnit.NANOSECONDS.toMillis(leftNanos)),
            call.info().depth(),
            call.retriesLeft(),
            call.info().fingerprint(),
            call.idempotencyKey(),
            call.head().headers().get("content-length", ""));
    HttpHeaders headers = call.head().headers().copy();
    hop.write(headers);
    headers.set(HeaderNames.HOP_STAMP, stamps.next());
    headers.set(HeaderNames.HOP_VM, HopHead.encoded(self.value()));
    headers.set(HeaderNames.HOP_SESSION, session.id());
    headers.set(HeaderNames.HOP_SEQUENCE, sequence);
    headers.set(HeaderNames.HOP_PROOF, session.prove(sequence, hop.text()).hex());
    return new RequestHead(call.head().method(), call.head().target(), headers);
  }

  private CallResult result(Reply reply, PoolId pool) {
    stamps.take(reply.headers());
    String result = reply.headers().get(HeaderNames.HOP_RESULT);
    Optional<PoolView> view = PoolViewHeader.parse(pool, reply.headers().get(HeaderNames.HOP_VIEW));
    reply.headers().remove(HeaderNames.HOP_RESULT).remove(HeaderNames.HOP_VIEW);
    HopResult ended = HopResult.parse(result);
    if (ended instanceof HopResult.Answered) {
      return new CallResult.Answered(reply, view);
    }
    reply.body().subscribe(part -> part.release(), error -> {});
    return switch (ended) {
      case HopResult.Answered answered -> new CallResult.Answered(reply, view);
      case HopResult.HandedBack back -> new CallResult.HandedBack(back.reason(), view);
      case HopResult.Shed shed -> new CallResult.Shed(view);
      case HopResult.Lost lost -> new CallResult.Lost(lost.cause(), view);
      case HopResult.NotProved notProved ->
          new CallResult.Unreachable(
              new LinkException("The other VM refused the proof: check that the keys are equal."));
    };
  }

  private static CallResult failed(RadishpostException error) {
    return error instanceof NotConnectedException
        ? new CallResult.Unreachable(error)
        : new CallResult.Lost(error, Optional.empty());
  }

  /**
   * The identity of a call on its way to an owner.
   *
   * @param owner the owner
   * @param sequence its number on the session
   */
  private record HopCall(VmId owner, long sequence) {}
}
