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
 * The pools that this VM owns now, and those that it owned and whose calls still run.
 *
 * <p>Thread-safe.
 */
final class OwnedPools implements HopHandler {
  private final PoolDirectory directory;
  private final Members members;
  private final Function<PoolId, PoolRunner> factory;
  private final ClaimGate gate;
  private final boolean ownsAll;
  private final Map<PoolId, PoolRunner> owned = new ConcurrentHashMap<>();
  private final Map<PoolRunner, PoolId> leaving = new ConcurrentHashMap<>();

  /**
   * Creates it without pools.
   *
   * @param directory the pools that there are
   * @param members who owns them
   * @param factory makes the runner of a pool
   * @param gate lets guarded calls run once
   * @param ownsAll whether this VM sends to every pool itself, as the baselines do
   */
  OwnedPools(
      PoolDirectory directory,
      Members members,
      Function<PoolId, PoolRunner> factory,
      ClaimGate gate,
      boolean ownsAll) {
    this.directory = directory;
    this.members = members;
    this.factory = factory;
    this.gate = gate;
    this.ownsAll = ownsAll;
  }

  /** Returns why the entry must refuse the call, if it must. */
  Optional<Problem> refusal(Call call) {
    return gate.fault(call);
  }

  /** Tells whether this VM sends the pool's calls itself. */
  boolean owns(PoolId pool) {
    return ownsAll
        || members
            .ownerOf(pool)
            .filter(owner -> owner.id().equals(members.self().id()))
            .isPresent();
  }

  /** Takes up pools that became this VM's, and gives up those that no longer are. */
  synchronized void reconcile() {
    for (PoolId pool : directory.pools()) {
      if (owns(pool)) {
        PoolRunner runner = owned.computeIfAbsent(pool, factory);
        directory.spec(pool).ifPresent(runner::configure);
      }
    }
    Iterator<Map.Entry<PoolId, PoolRunner>> entries = owned.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<PoolId, PoolRunner> entry = entries.next();
      if (!directory.pools().contains(entry.getKey()) || !owns(entry.getKey())) {
        entries.remove();
        leaving.put(entry.getValue(), entry.getKey());
        entry.getValue().release();
      }
    }
  }

  /** Takes note that the last connection to a target was closed. */
  void closed(Endpoint target) {
    owned.values().forEach(runner -> runner.closed(target));
  }

  /** Lets time pass for every pool. */
  void tick() {
    owned.values().forEach(PoolRunner::tick);
    leaving.keySet().removeIf(PoolRunner::idle);
  }

  @Override
  public Mono<CallResult> handle(Call call, PoolId pool, Runnable onTaken) {
    if (!call.facts().allows(members.self().place().region())
        || !call.facts().allows(pool.place().region())) {
      return Mono.just(new CallResult.HandedBack(HandBackReason.NOT_OWNER, Optional.empty()));
    }
    PoolRunner runner = owned.get(pool);
    if (runner == null) {
      return Mono.just(new CallResult.HandedBack(HandBackReason.NOT_OWNER, Optional.empty()));
    }
    if (ClaimGate.guards(call)) {
      return gate.run(call, onTaken, watch -> runner.submit(call, watch));
    }
    return runner.submit(call, new TakenOnly(onTaken));
  }

  /** Returns the views of all pools that this VM owns. */
  List<PoolView> views() {
    return owned.values().stream().map(PoolRunner::view).toList();
  }

  /** Returns the targets of all pools that this VM owns. */
  Map<PoolId, List<TargetStatus>> targets() {
    return owned.entrySet().stream()
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().targets()));
  }

  /**
   * Passes on that a call was taken.
   *
   * @param onTaken what to run
   */
  private record TakenOnly(Runnable onTaken) implements SendWatch {
    @Override
    public void taken() {
      onTaken.run();
    }

    @Override
    public void withdrawn() {}
  }
}
