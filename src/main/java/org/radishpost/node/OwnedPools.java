package org.radishpost.node;

import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.radishpost.http.Call;
import org.radishpost.http.CallResult;
import org.radishpost.http.HopHandler;
import org.radishpost.http.Problem;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.PoolId;
import org.radishpost.membership.Members;
import org.radishpost.pool.HandBackReason;
import org.radishpost.pool.PoolView;
import org.radishpost.pool.TargetStatus;
import reactor.core.publisher.Mono;

/**
 * The pools that this VM owns, and released pools that still have running calls.
 *
 * <p>Thread-safe.
 */
final class OwnedPools implements HopHandler {
  private final PoolDirectory directory;
  private final Members members;
  private final Function<PoolId, PoolRunner> runnerFactory;
  private final ClaimGate gate;
  private final boolean ownsAllPools;
  private final Map<PoolId, PoolRunner> runners = new ConcurrentHashMap<>();
  private final Map<PoolRunner, PoolId> draining = new ConcurrentHashMap<>();

  /**
   * Creates an instance that owns no pools yet.
   *
   * @param directory the pools of the current configuration
   * @param members determines the owner of each pool
   * @param runnerFactory creates the runner of a pool
   * @param gate ensures that a call with an idempotency key runs at most once
   * @param ownsAllPools whether this VM sends to every pool itself; true for the balancing modes
   *     that serve as baselines
   */
  OwnedPools(
      PoolDirectory directory,
      Members members,
      Function<PoolId, PoolRunner> runnerFactory,
      ClaimGate gate,
      boolean ownsAllPools) {
    this.directory = directory;
    this.members = members;
    this.runnerFactory = runnerFactory;
    this.gate = gate;
    this.ownsAllPools = ownsAllPools;
  }

  /** Returns the problem with the call's idempotency key, if any. */
  Optional<Problem> keyProblem(Call call) {
    return gate.keyProblem(call);
  }

  /** Returns whether this VM sends the pool's calls to targets itself. */
  boolean owns(PoolId pool) {
    return ownsAllPools
        || members
            .ownerOf(pool)
            .filter(owner -> owner.id().equals(members.self().id()))
            .isPresent();
  }

  /**
   * Creates runners for newly owned pools, updates the owned pools and releases the pools that are
   * no longer owned.
   */
  synchronized void reconcile() {
    for (PoolId pool : directory.pools()) {
      if (owns(pool)) {
        PoolRunner runner = runners.computeIfAbsent(pool, runnerFactory);
        directory.spec(pool).ifPresent(runner::configure);
      }
    }
    Iterator<Map.Entry<PoolId, PoolRunner>> entries = runners.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<PoolId, PoolRunner> entry = entries.next();
      if (!directory.pools().contains(entry.getKey()) || !owns(entry.getKey())) {
        entries.remove();
        draining.put(entry.getValue(), entry.getKey());
        entry.getValue().release();
      }
    }
  }

  /** Notifies the owned pools that the last connection to a target was closed. */
  void connectionsClosed(Endpoint target) {
    runners.values().forEach(runner -> runner.connectionsClosed(target));
  }

  /** Runs the periodic work of all owned pools, and removes released pools without calls. */
  void tick() {
    runners.values().forEach(PoolRunner::tick);
    draining.keySet().removeIf(PoolRunner::isIdle);
  }

  @Override
  public Mono<CallResult> handle(Call call, PoolId pool, Runnable beforeSend) {
    if (!call.info().allowsRegion(members.self().place().region())
        || !call.info().allowsRegion(pool.place().region())) {
      return Mono.just(new CallResult.HandedBack(HandBackReason.NOT_OWNER, Optional.empty()));
    }
    PoolRunner runner = runners.get(pool);
    if (runner == null) {
      return Mono.just(new CallResult.HandedBack(HandBackReason.NOT_OWNER, Optional.empty()));
    }
    if (ClaimGate.requiresClaim(call)) {
      return gate.run(call, beforeSend, listener -> runner.submit(call, listener));
    }
    return runner.submit(call, new SendForwarder(beforeSend));
  }

  /** Returns the views of all pools that this VM owns. */
  List<PoolView> views() {
    return runners.values().stream().map(PoolRunner::view).toList();
  }

  /** Returns the status of the targets of all pools that this VM owns. */
  Map<PoolId, List<TargetStatus>> targetStatuses() {
    return runners.entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().targetStatuses()));
  }

  /**
   * Runs an action before the call is sent, and ignores its withdrawal.
   *
   * @param beforeSendAction the action
   */
  private record SendForwarder(Runnable beforeSendAction) implements SendListener {
    @Override
    public void beforeSend() {
      beforeSendAction.run();
    }

    @Override
    public void onWithdrawn() {}
  }
}
