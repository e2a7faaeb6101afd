package org.radishpost.node;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.radishpost.claims.ClaimLimits;
import org.radishpost.claims.ClaimOutcome;
import org.radishpost.claims.ClaimRequest;
import org.radishpost.claims.ClaimResult;
import org.radishpost.claims.Claims;
import org.radishpost.errors.LinkException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.link.LinkMessage;
import org.radishpost.link.Links;
import org.radishpost.membership.Members;
import org.radishpost.store.PlatformLog;
import org.radishpost.store.VmEntry;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Claims keys through the platform's log: sends requests to the VM that owns the key's shard, and
 * handles requests for the shards that this VM owns.
 *
 * <p>Call {@link #start} once, and pass requests from peers to {@link #handleClaim} and {@link
 * #handleEnd}. Thread-safe.
 */
public final class ClaimService implements Claims {
  private static final Duration MAINTENANCE_INTERVAL = Duration.ofSeconds(1);
  private static final Duration STREAM_IDLE_TIMEOUT = Duration.ofMinutes(10);
  private static final Duration END_REQUEST_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration END_RETRY_DELAY = Duration.ofSeconds(1);
  private static final int MAX_END_TRIES = 100;
  private static final int MAX_PENDING_ENDS = 20_000;

  private final PlatformLog log;
  private final Links links;
  private final Members members;
  private final Scheduler scheduler;
  private final EventSink events;
  private final Map<String, ClaimStream> streams = new ConcurrentHashMap<>();
  private final AtomicInteger pendingEnds = new AtomicInteger();
  private final Disposable.Composite tasks = Disposables.composite();

  /**
   * Creates a service that is idle until it is started or receives a request.
   *
   * @param log the platform's log
   * @param links the links to other VMs
   * @param members the VMs from which the owner of a shard is chosen
   * @param scheduler provides the time and runs all work
   * @param events receives the events
   */
  public ClaimService(
      PlatformLog log, Links links, Members members, Scheduler scheduler, EventSink events) {
    this.log = log;
    this.links = links;
    this.members = members;
    this.scheduler = scheduler;
    this.events = events;
  }

  /** Starts reading the streams of the shards that this VM owns. */
  public void start() {
    tasks.add(
        scheduler.schedulePeriodically(
            this::maintainStreams, 0, MAINTENANCE_INTERVAL.toNanos(), TimeUnit.NANOSECONDS));
  }

  /** Stops all work; requests that are pending in a stream get no result. */
  public void close() {
    tasks.dispose();
    streams.values().forEach(ClaimStream::close);
  }

  @Override
  public Mono<ClaimResult> claim(ClaimRequest request, Duration timeout) {
    return Mono.create(sink -> new ClaimAttempt(this, request, timeout, scheduler, sink).start());
  }

  @Override
  public void complete(ClaimRequest request, ClaimOutcome outcome) {
    recordEnd(request, Optional.of(outcome));
  }

  @Override
  public void withdraw(ClaimRequest request) {
    recordEnd(request, Optional.empty());
  }

  /** Handles a peer's claim request; emits the result, or nothing if there is none. */
  public Mono<LinkMessage> handleClaim(LinkMessage.AcquireClaim message) {
    if (!inHomeRegion(message.request())) {
      return Mono.just(new LinkMessage.ClaimResponse(new ClaimResult.Unavailable()));
    }
    return stream(message.request())
        .claim(message.request(), Duration.ofMillis(message.timeoutMillis()))
        .map(LinkMessage.ClaimResponse::new);
  }

  /**
   * Records how a peer's attempt ended.
   *
   * <p>Emits a response once the record is in the log, or nothing if that failed. The peer ignores
   * the claim result in the response.
   */
  public Mono<LinkMessage> handleEnd(LinkMessage.ClaimEnded message) {
    if (!inHomeRegion(message.request())) {
      return Mono.empty();
    }
    return stream(message.request())
        .end(message.request(), message.outcome(), END_REQUEST_TIMEOUT)
        .filter(recorded -> recorded)
        .map(recorded -> new LinkMessage.ClaimResponse(new ClaimResult.Unavailable()));
  }

  /** Returns the number of keys that this VM holds in memory. */
  public int keyCount() {
    return streams.values().stream().mapToInt(ClaimStream::keyCount).sum();
  }

  /** Returns the estimated memory of these keys, in bytes. */
  public long indexBytes() {
    return streams.values().stream().mapToLong(ClaimStream::indexBytes).sum();
  }

  /** Sends one claim request to the current owner of the key. */
  Mono<ClaimResult> claimFromOwner(
      ClaimRequest request, Duration timeout, Duration requestTimeout) {
    Optional<VmEntry> owner = ownerOf(request);
    if (owner.isEmpty()) {
      return Mono.error(noOwnerException());
    }
    if (owner.get().id().equals(members.self().id())) {
      return stream(request).claim(request, timeout);
    }
    LinkMessage message = new LinkMessage.AcquireClaim(request, timeout.toMillis());
    return links
        .request(owner.get().id(), message, requestTimeout)
        .ofType(LinkMessage.ClaimResponse.class)
        .map(LinkMessage.ClaimResponse::result)
        .switchIfEmpty(Mono.error(ClaimService::noResponseException));
  }

  private void recordEnd(ClaimRequest request, Optional<ClaimOutcome> outcome) {
    if (pendingEnds.incrementAndGet() > MAX_PENDING_ENDS) {
      pendingEnds.decrementAndGet();
      reportEndLost(request, outcome);
      return;
    }
    tryRecordEnd(request, outcome, 1);
  }

  private void tryRecordEnd(ClaimRequest request, Optional<ClaimOutcome> outcome, int tries) {
    subscribeTracked(
        sendEnd(request, outcome).timeout(END_REQUEST_TIMEOUT.plus(END_RETRY_DELAY), scheduler),
        recorded -> {
          if (recorded) {
            pendingEnds.decrementAndGet();
          } else {
            scheduleEndRetry(request, outcome, tries);
          }
        },
        () -> scheduleEndRetry(request, outcome, tries));
  }

  private void scheduleEndRetry(ClaimRequest request, Optional<ClaimOutcome> outcome, int tries) {
    if (tries >= MAX_END_TRIES) {
      pendingEnds.decrementAndGet();
      reportEndLost(request, outcome);
      return;
    }
    subscribeTracked(
        Mono.delay(END_RETRY_DELAY, scheduler),
        unused -> tryRecordEnd(request, outcome, tries + 1),
        () -> {});
  }

  private Mono<Boolean> sendEnd(ClaimRequest request, Optional<ClaimOutcome> outcome) {
    Optional<VmEntry> owner = ownerOf(request);
    if (owner.isEmpty()) {
      return Mono.error(noOwnerException());
    }
    if (owner.get().id().equals(members.self().id())) {
      return stream(request).end(request, outcome, END_REQUEST_TIMEOUT);
    }
    LinkMessage message = new LinkMessage.ClaimEnded(request, outcome);
    return links
        .request(owner.get().id(), message, END_REQUEST_TIMEOUT)
        .map(LinkMessage.ClaimResponse.class::isInstance)
        .defaultIfEmpty(false);
  }

  private <T> void subscribeTracked(Mono<T> work, Consumer<T> success, Runnable failure) {
    Disposable.Swap subscription = Disposables.swap();
    tasks.add(subscription);
    subscription.update(
        work.publishOn(scheduler)
            .doFinally(unused -> tasks.remove(subscription))
            .subscribe(success, error -> failure.run()));
  }

  private void reportEndLost(ClaimRequest request, Optional<ClaimOutcome> outcome) {
    events.emit(
        EventCode.CLAIM_END_LOST,
        EventField.of("stream", ClaimLimits.streamOf(request.key())),
        EventField.of("ending", outcome.isPresent() ? "outcome" : "withdrawal"));
  }

  private Optional<VmEntry> ownerOf(ClaimRequest request) {
    return members.ownerOfShard(ClaimLimits.streamOf(request.key()), request.homeRegions());
  }

  private boolean inHomeRegion(ClaimRequest request) {
    return request.homeRegions().isEmpty()
        || request.homeRegions().contains(members.self().place().region());
  }

  private ClaimStream stream(ClaimRequest request) {
    return stream(ClaimLimits.streamOf(request.key()));
  }

  private ClaimStream stream(String name) {
    return streams.computeIfAbsent(name, unused -> new ClaimStream(name, log, scheduler, events));
  }

  private void maintainStreams() {
    ClaimLimits.streams().filter(this::ownsShard).forEach(name -> stream(name).open());
    streams.forEach(this::closeIfIdle);
  }

  private boolean ownsShard(String name) {
    return members
        .ownerOfShard(name, Set.of())
        .filter(owner -> owner.id().equals(members.self().id()))
        .isPresent();
  }

  private void closeIfIdle(String name, ClaimStream stream) {
    if (stream.isIdleFor(STREAM_IDLE_TIMEOUT) && streams.remove(name, stream)) {
      stream.close();
    }
  }

  private static LinkException noOwnerException() {
    return new LinkException(
        "No VM that may own the key is running: start one in the key's regions.");
  }

  private static LinkException noResponseException() {
    return new LinkException("The owner of the key did not respond: retry with its current owner.");
  }
}
