package org.radishpost.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.radishpost.claims.ClaimOutcome;
import org.radishpost.claims.ClaimRequest;
import org.radishpost.claims.ClaimResult;
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
 * Runs a call with an idempotency key only if this VM is granted the claim for the key.
 *
 * <p>Thread-safe.
 */
final class ClaimGate {
  private static final int MAX_STORED_BODY_BYTES = 1_024;

  private final VmId self;
  private final Claims claims;
  private final ClaimSecrets secrets;
  private final Scheduler clock;

  ClaimGate(VmId self, Claims claims, ClaimSecrets secrets, Scheduler clock) {
    this.self = self;
    this.claims = claims;
    this.secrets = secrets;
    this.clock = clock;
  }

  /** Returns whether the call requires a claim. */
  static boolean requiresClaim(Call call) {
    return call.match().route().duplicateGuard() == DuplicateGuard.KEY;
  }

  /** Returns a problem if the call requires a claim and has no valid key. */
  Optional<Problem> keyProblem(Call call) {
    if (!requiresClaim(call)) {
      return Optional.empty();
    }
    return parseKey(call).isEmpty() ? Optional.of(Problems.keyMissing()) : Optional.empty();
  }

  /**
   * Runs a call that requires a claim after the claim is granted.
   *
   * @param call the call, with a key that was checked by {@link #keyProblem}
   * @param beforeSend run immediately before the call is sent to a target
   * @param send sends the call and notifies the listener
   * @return the result, never an error
   */
  Mono<CallResult> run(
      Call call, Runnable beforeSend, Function<SendListener, Mono<CallResult>> send) {
    Optional<IdempotencyKey> key = parseKey(call);
    if (key.isEmpty()) {
      return problemResult(Problems.keyMissing());
    }
    long remainingNanos = remainingNanos(call);
    if (remainingNanos <= 0) {
      return Mono.just(new CallResult.HandedBack(HandBackReason.TOO_LATE, Optional.empty()));
    }
    ClaimRequest request = claimRequest(call, key.get());
    return claims
        .claim(request, Duration.ofNanos(remainingNanos))
        .flatMap(
            result ->
                switch (result) {
                  case ClaimResult.Granted granted -> sendGranted(call, request, beforeSend, send);
                  case ClaimResult.Completed completed -> replay(completed.outcome());
                  case ClaimResult.Held held -> problemResult(Problems.keyHeld());
                  case ClaimResult.KeyTooOld old -> problemResult(Problems.keyTooOld());
                  case ClaimResult.KeyMisused misused -> problemResult(Problems.keyMisused());
                  case ClaimResult.Unavailable unavailable ->
                      problemResult(Problems.claimUnavailable());
                });
  }

  private Mono<CallResult> sendGranted(
      Call call,
      ClaimRequest request,
      Runnable beforeSend,
      Function<SendListener, Mono<CallResult>> send) {
    if (remainingNanos(call) <= 0) {
      claims.withdraw(request);
      return Mono.just(new CallResult.HandedBack(HandBackReason.TOO_LATE, Optional.empty()));
    }
    SendListener listener =
        new SendListener() {
          @Override
          public void beforeSend() {
            beforeSend.run();
          }

          @Override
          public void onWithdrawn() {
            claims.withdraw(request);
          }
        };
    return send.apply(listener).map(result -> recordResult(request, result));
  }

  private CallResult recordResult(ClaimRequest request, CallResult result) {
    return switch (result) {
      case CallResult.Responded responded -> completeOnFirstPart(request, responded);
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

  private CallResult completeOnFirstPart(ClaimRequest request, CallResult.Responded responded) {
    Response response = responded.response();
    Flux<ByteBuf> body =
        response
            .body()
            .switchOnFirst(
                (first, all) -> {
                  claims.complete(
                      request, outcomeOf(request, response, Optional.ofNullable(first.get())));
                  return all;
                });
    return new CallResult.Responded(response.withBody(body), responded.view());
  }

  private static ClaimOutcome outcomeOf(
      ClaimRequest request, Response response, Optional<ByteBuf> body) {
    int bytes = body.map(ByteBuf::readableBytes).orElse(0);
    boolean stored =
        request.homeRegions().isEmpty()
            && bytes <= MAX_STORED_BODY_BYTES
            && String.valueOf(bytes).equals(response.headers().get("content-length"));
    if (!stored) {
      return new ClaimOutcome(response.status(), "", new byte[0]);
    }
    return new ClaimOutcome(
        response.status(),
        response.headers().get("content-type", "application/octet-stream"),
        body.map(ByteBufUtil::getBytes).orElse(new byte[0]));
  }

  private static Mono<CallResult> replay(ClaimOutcome outcome) {
    Response response = Responses.bytes(outcome.status(), outcome.contentType(), outcome.body());
    response.headers().set(HeaderNames.REPLAYED, "true");
    return Mono.just(new CallResult.Responded(response, Optional.empty()));
  }

  private static Mono<CallResult> problemResult(Problem problem) {
    return Mono.just(new CallResult.Responded(Response.of(problem), Optional.empty()));
  }

  private ClaimRequest claimRequest(Call call, IdempotencyKey key) {
    byte[] secret = secrets.secretFor(call.match().route());
    String scope = call.info().gateway() + "\n" + call.info().route() + "\n";
    Digest requestDigest =
        Digest.hmac(
            secret,
            scope
                + call.head().target()
                + "\n"
                + call.info().fingerprint().map(Digest::hex).orElse(""));
    return new ClaimRequest(
        Digest.hmac(secret, scope + key.text()),
        Digest.of(self + "\n" + call.info().id().value() + "\n" + secrets.nonce()),
        key.timeMillis(),
        call.info().homeRegions(),
        Optional.of(requestDigest));
  }

  private static Optional<IdempotencyKey> parseKey(Call call) {
    return call.idempotencyKey()
        .map(IdempotencyKey::parse)
        .filter(IdempotencyKey.Valid.class::isInstance)
        .map(parsed -> ((IdempotencyKey.Valid) parsed).key());
  }

  private long remainingNanos(Call call) {
    return call.info().deadlineNanos() - clock.now(TimeUnit.NANOSECONDS);
  }
}
