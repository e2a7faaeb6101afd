package org.radishpost.standin;

import java.util.ArrayList;
import java.util.List;
import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import reactor.core.scheduler.Scheduler;

/**
 * Targets for tests and measurements, each with a port of its own, in one process.
 *
 * <p>A target has slots and a queue, takes a random time for each call, starts cold or warm,
 * reports its load, sheds what it cannot take, and can be told at run time to be slow, silent,
 * misleading and more: see {@link TargetControl}. Thread-safe.
 */
public final class TargetServer {
  private final Scheduler clock;
  private final List<HttpTarget> targets = new ArrayList<>();

  /**
   * Creates a server without targets.
   *
   * @param clock the clock, and where service times come from
   */
  public TargetServer(Scheduler clock) {
    this.clock = clock;
  }

  /**
   * Starts one more target.
   *
   * @param listenAddress where it listens; port 0 takes any free one
   * @param options what it is like
   * @return where it listens
   * @throws StartException if the address cannot be used
   */
  public Endpoint add(Endpoint listenAddress, TargetOptions options) throws StartException {
    HttpTarget target = new HttpTarget(listenAddress, new TargetState(options, clock), clock);
    target.start();
    synchronized (targets) {
      targets.add(target);
    }
    return target.address();
  }

  /** Sets what is wrong with the target at the address. */
  public void setControl(Endpoint address, TargetControl control) {
    findTarget(address).setControl(control);
  }

  /** Returns what the target at the address has counted. */
  public TargetStats stats(Endpoint address) {
    return findTarget(address).stats();
  }

  /** Returns how often calls with the idempotency key began to run, over all targets. */
  public long runCount(String idempotencyKey) {
    return allTargets().stream().mapToLong(target -> target.runCount(idempotencyKey)).sum();
  }

  /** Returns where the targets listen. */
  public List<Endpoint> addresses() {
    return allTargets().stream().map(HttpTarget::address).toList();
  }

  /** Stops all targets and closes their connections. */
  public void stop() {
    allTargets().forEach(HttpTarget::stop);
  }

  private List<HttpTarget> allTargets() {
    synchronized (targets) {
      return List.copyOf(targets);
    }
  }

  private HttpTarget findTarget(Endpoint address) {
    return allTargets().stream()
        .filter(target -> target.address().equals(address))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no target listens on " + address));
  }
}
