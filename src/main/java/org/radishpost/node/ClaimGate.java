package org.radishpost.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.radishpost.claims.ClaimAnswer;
import org.radishpost.claims.ClaimOutcome;
import org.radishpost.claims.ClaimRequest;
import org.radishpost.claims.Claims;
import org.radishpost.claims.IdempotencyKey;
import org.radishpost.http.Call;
import org.radishpost.http.CallResult;
import org.radishpost.http.HeaderNames;
import org.radishpost.http.Problem;
import org.radishpost.http.Problems;
import org.radishpost.http.Response;
import org.radishpost.http.Responses;
import org.radishpost.lib.Digest;
import org.radishpost.lib.VmId;
import org.radishpost.manifest.DuplicateGuard;
import org.radishpost.pool.HandBackReason;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Lets a call with an idempotency key run only when its claim was granted to this VM.
 *
 * <p>Thread-safe.
 */
final class ClaimGate {
  private static final int MAX_KEPT_BODY_BYTES = 1_024;

  private final VmId self;
  private final Claims claims;
  private final ClaimKeys keys;
  private final Scheduler clock;

  ClaimGate(VmId self, Claims claims, ClaimKeys keys, Scheduler clock) {
    this.self = self;
    this.claims = claims;
    this.keys = keys;
    this.clock = clock;
  }

  /** Tells whether the call needs a claim. */
  static boolean guards(Call call) {
    return call.match().route().duplicateGuard() == DuplicateGuard.KEY;
  }

  /** Returns what is wrong with the call's key, if anything. */
  Optional<Problem> fault(Call call) {
    if (!guards(call)) {
      return Optional.empty();
    }
    return key(call).isEmpty() ? Optional.of(Problems.keyMissing()) : Optional.empty();
  }

  /**
   * Runs a guarded call once its claim is granted.
   *
   * @param call the call, whose key has been checked
   * @param onTaken run when a target has the call
   * @param send sends the call, telling the watch
   * @return how it ended, never an error
   */
  Mono<CallResult> run(Call call, Runnable onTaken, Function<SendWatch, Mono<CallResult>> send) {
    Optional<IdempotencyKey> key = key(call);
    if (key.isEmpty()) {
      return refused(Problems.keyMissing());
    }
    long leftNanos = leftNanos(call);
    if (leftNanos <= 0) {
      return Mono.just(new CallResult.HandedBack(HandBackReason.TOO_LATE, Optional.empty()));
    }
    ClaimRequest request = request(call, key.get());
    return claims
        .claim(request, Duration.ofNanos(leftNanos))
        .flatMap(
            answer ->
                switch (answer) {
                  case ClaimAnswer.Granted granted -> granted(call, request, onTaken, send);
                  case ClaimAnswer.Settled settled -> replayed(settled.outcome());
                  case ClaimAnswer.Held held -> refused(Problems.keyHeld());
                  case ClaimAnswer.KeyTooOld old -> refused(Problems.keyTooOld());
                  case ClaimAnswer.KeyMisused misused -> refused(Problems.keyMisused());
                  case ClaimAnswer.Unavailable unavailable -> refused(Problems.claimUnavailable());
                });
  }

  private Mono<CallResult> granted(
      Call call,
      ClaimRequest request,
      Runnable onTaken,
      Function<SendWatch, Mono<CallResult>> send) {
    if (leftNanos(call) <= 0) {
      claims.withdraw(request);
      return Mono.just(new CallResult.HandedBack(HandBackReason.TOO_LATE, Optional.empty()));
    }
    SendWatch watch =
        new SendWatch() {
          @Override
          public void taken() {
            onTaken.run();
          }

          @Override
          public void withdrawn() {
            claims.withdraw(request);
          }
        };
    return send.apply(watch).map(result -> ended(request, result));
  }

  private CallResult ended(ClaimRequest request, CallResult result) {
    return switch (result) {
      case CallResult.Responded answered -> settled(request, answered);
      case CallResult.HandedBack back -> {
        claims.withdraw(request);
        yield back;
      }
      case CallResult.Shed shed -> {
        claims.withdraw(request);
        yield shed;
      }
      case CallResult.Unreachable unreachable -> {
        claims.withdraw(request);
        yield unreachable;
      }
      case CallResult.Lost lost -> lost;
    };
  }

  private CallResult settled(ClaimRequest request, CallResult.Responded answered) {
    Response reply = answered.response();
    Flux<ByteBuf> body =
        reply
            .body()
            .switchOnFirst(
                (first, all) -> {
                  claims.settle(request, outcome(request, reply, Optional.ofNullable(first.get())));
                  return all;
                });
    return new CallResult.Responded(reply.withBody(body), answered.view());
  }

  private static ClaimOutcome outcome(
      ClaimRequest request, Response reply, Optional<ByteBuf> body) {
    int bytes = body.map(ByteBuf::readableBytes).orElse(0);
    boolean kept =
        request.homeRegions().isEmpty()
            && bytes <= MAX_KEPT_BODY_BYTES
            && String.valueOf(bytes).equals(reply.headers().get("content-length"));
    if (!kept) {
      return new ClaimOutcome(reply.status(), "", new byte[0]);
    }
    return new ClaimOutcome(
        reply.status(),
        reply.headers().get("content-type", "application/octet-stream"),
        body.map(ByteBufUtil::getBytes).orElse(new byte[0]));
  }

  private static Mono<CallResult> replayed(ClaimOutcome outcome) {
    Response reply = Responses.bytes(outcome.status(), outcome.contentType(), outcome.body());
    reply.headers().set(HeaderNames.REPLAYED, "true");
    return Mono.just(new CallResult.Responded(reply, Optional.empty()));
  }

  private static Mono<CallResult> refused(Problem problem) {
    return Mono.just(new CallResult.Responded(Response.of(problem), Optional.empty()));
  }

  private ClaimRequest request(Call call, IdempotencyKey key) {
    byte[] secret = keys.forRoute(call.match().route());
    String scope = call.facts().gateway() + "\n" + call.facts().route() + "\n";
    Digest request =
        Digest.keyed(
            secret,
            scope
                + call.head().target()
                + "\n"
                + call.facts().fingerprint().map(Digest::hex).orElse(""));
    return new ClaimRequest(
        Digest.keyed(secret, scope + key.text()),
        Digest.of(self + "\n" + call.facts().id().value() + "\n" + keys.nonce()),
        key.timeMillis(),
        call.facts().homeRegions(),
        Optional.of(request));
  }

  private static Optional<IdempotencyKey> key(Call call) {
    return call.idempotencyKey()
        .map(IdempotencyKey::parse)
        .filter(IdempotencyKey.Valid.class::isInstance)
        .map(parsed -> ((IdempotencyKey.Valid) parsed).key());
  }

  private long leftNanos(Call call) {
    return call.facts().deadlineNanos() - clock.now(TimeUnit.NANOSECONDS);
  }
}
