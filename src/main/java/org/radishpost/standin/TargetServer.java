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
   * @param listen where it listens; port 0 takes any free one
   * @param options what it is like
   * @return where it listens
   * @throws StartException if the address cannot be used
   */
  public Endpoint add(Endpoint listen, TargetOptions options) throws StartException {
    HttpTarget target = new HttpTarget(listen, new TargetState(options, clock), clock);
    target.start();
    synchronized (targets) {
      targets.add(target);
    }
    return target.address();
  }

  /** Sets what is wrong with the target at the address. */
  public void control(Endpoint address, TargetControl control) {
    find(address).control(control);
  }

  /** Returns what the target at the address has counted. */
  public TargetStats stats(Endpoint address) {
    return find(address).stats();
  }

  /** Returns how often calls with the idempotency key began to run, over all targets. */
  public long runs(String key) {
    return all().stream().mapToLong(target -> target.runs(key)).sum();
  }

  /** Returns where the targets listen. */
  public List<Endpoint> addresses() {
    return all().stream().map(HttpTarget::address).toList();
  }

  /** Stops all targets and closes their connections. */
  public void stop() {
    all().forEach(HttpTarget::stop);
  }

  private List<HttpTarget> all() {
    synchronized (targets) {
      return List.copyOf(targets);
    }
  }

  private HttpTarget find(Endpoint address) {
    return all().stream()
        .filter(target -> target.address().equals(address))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("no target listens on " + address));
  }
}
