package org.radishpost.node;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.radishpost.errors.AnswerTimeoutException;
import org.radishpost.http.Call;
import org.radishpost.http.CallHandler;
import org.radishpost.http.CallResult;
import org.radishpost.http.HopClient;
import org.radishpost.http.Problem;
import org.radishpost.http.Problems;
import org.radishpost.http.Reply;
import org.radishpost.lib.PoolId;
import org.radishpost.membership.Members;
import org.radishpost.platform.VmEntry;
import org.radishpost.pool.HandBackReason;
import org.radishpost.routing.PoolChooser;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Takes a call from the edge to a pool, and to another one when it is handed back.
 *
 * <p>Thread-safe.
 */
final class CallRouter implements CallHandler {
  /** Pools that are tried at the most for one call. */
  private static final int MAX_POOLS = 4;

  private final PoolDirectory directory;
  private final PoolChooser chooser;
  private final Members members;
  private final OwnedPools owned;
  private final HopClient hops;
  private final Retries retries;
  private final Scheduler clock;

  CallRouter(
      PoolDirectory directory,
      PoolChooser chooser,
      Members members,
      OwnedPools owned,
      HopClient hops,
      Retries retries,
      Scheduler clock) {
    this.directory = directory;
    this.chooser = chooser;
    this.members = members;
    this.owned = owned;
    this.hops = hops;
    this.retries = retries;
    this.clock = clock;
  }

  @Override
  public Mono<Reply> handle(Call call) {
    Optional<Problem> refusal = owned.refusal(call);
    if (refusal.isPresent()) {
      return Mono.just(Reply.of(refusal.get()));
    }
    return attempt(call, new HashSet<>(), HandBackReason.NO_TARGET);
  }

  private Mono<Reply> attempt(Call call, Set<PoolId> tried, HandBackReason last) {
    Optional<PoolId> pool = tried.size() < MAX_POOLS ? choose(call, tried) : Optional.empty();
    if (pool.isEmpty()) {
      return Mono.just(Reply.of(Problems.handedBack(last)));
    }
    return run(call, pool.get()).flatMap(result -> next(call, pool.get(), tried, result));
  }

  private Optional<PoolId> choose(Call call, Set<PoolId> tried) {
    synchronized (chooser) {
      return chooser.choose(call.facts(), directory.candidates(call.match()), tried, now());
    }
  }

  private Mono<CallResult> run(Call call, PoolId pool) {
    Optional<VmEntry> owner = members.ownerOf(pool);
    if (owner.isEmpty()) {
      return Mono.just(new CallResult.HandedBack(HandBackReason.NO_TARGET, Optional.empty()));
    }
    if (owner.get().id().equals(members.self().id())) {
      return owned.handle(call, pool, () -> {});
    }
    return hops.send(call, pool, owner.get());
  }

  private Mono<Reply> next(Call call, PoolId pool, Set<PoolId> tried, CallResult result) {
    note(pool, result);
    return switch (result) {
      case CallResult.Answered answered -> {
        retries.succeeded();
        yield Mono.just(answered.reply());
      }
      case CallResult.HandedBack back -> again(call, pool, tried, back.reason());
      case CallResult.Unreachable unreachable -> again(call, pool, tried, HandBackReason.NOT_OWNER);
      case CallResult.Lost lost -> lost(call, pool, tried, lost);
    };
  }

  private Mono<Reply> again(Call call, PoolId pool, Set<PoolId> tried, HandBackReason reason) {
    if (reason == HandBackReason.SUSPECT || now() >= call.facts().deadlineNanos()) {
      return Mono.just(Reply.of(Problems.handedBack(reason)));
    }
    tried.add(pool);
    return attempt(call, tried, reason);
  }

  private Mono<Reply> lost(Call call, PoolId pool, Set<PoolId> tried, CallResult.Lost lost) {
    if (call.body().isWhole() && retries.allow(call, lost.cause(), now())) {
      return attempt(retries.spend(call), tried, HandBackReason.NO_TARGET);
    }
    int status = lost.cause() instanceof AnswerTimeoutException ? 504 : 502;
    return Mono.just(Reply.of(Problems.lostAnswer(status, lost.cause().getMessage())));
  }

  private void note(PoolId pool, CallResult result) {
    synchronized (chooser) {
      result.view().ifPresent(view -> chooser.seen(view, now()));
      switch (result) {
        case CallResult.HandedBack back -> chooser.handedBack(pool, back.reason(), now());
        case CallResult.Unreachable unreachable -> chooser.unreachable(pool, now());
        case CallResult.Answered answered -> {}
        case CallResult.Lost lost -> {}
      }
    }
  }

  private long now() {
    return clock.now(TimeUnit.NANOSECONDS);
  }
}
