package org.radishpost.standin;

import java.util.ArrayList;
import java.util.List;
import org.radishpost.errors.StartException;
import org.radishpost.lib.Endpoint;
import reactor.core.scheduler.Scheduler;

/**
 * Target stand-ins for tests and measurements. All run in this process, each on its own port.
 *
 * <p>A target has slots and a queue, draws a random service time for each call, starts cold or
 * warm, reports its load and sheds calls that exceed its capacity. {@link TargetControl} changes
 * its behavior at run time. Thread-safe.
 */
public final class TargetServer {
  private final Scheduler clock;
  private final List<HttpTarget> targets = new ArrayList<>();

  /**
   * Creates a server without targets.
   *
   * @param clock the clock, which also schedules the ends of service times
   */
  public TargetServer(Scheduler clock) {
    this.clock = clock;
  }

  /**
   * Starts a target and adds it to this server.
   *
   * @param listenAddress the address to listen on; port 0 selects a free port
   * @param options the options of the target
   * @return the address with the actual port
   * @throws StartException if the target cannot listen on the address
   */
  public Endpoint add(Endpoint listenAddress, TargetOptions options) throws StartException {
    HttpTarget target = new HttpTarget(listenAddress, new TargetState(options, clock), clock);
    target.start();
    synchronized (targets) {
      targets.add(target);
    }
    return target.address();
  }

  /** Sets the faults of the target at the address. */
  public void setControl(Endpoint address, TargetControl control) {
    findTarget(address).setControl(control);
  }

  /** Returns the statistics of the target at the address. */
  public TargetStats stats(Endpoint address) {
    return findTarget(address).stats();
  }

  /** Returns the number of executions started for the idempotency key, over all targets. */
  public long runCount(String idempotencyKey) {
    return allTargets().stream().mapToLong(target -> target.runCount(idempotencyKey)).sum();
  }

  /** Returns the addresses of all targets. */
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
