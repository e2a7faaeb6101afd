package org.radishpost.node;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.radishpost.config.Configuration;
import org.radishpost.errors.ResponseTimeoutException;
import org.radishpost.http.Call;
import org.radishpost.http.CallResult;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RegionName;
import org.radishpost.settings.NodeSettings.Balancing;
import org.radishpost.store.PlatformLog;
import org.radishpost.store.VmEntry;
import org.radishpost.store.VmList;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** One VM of a scenario: a real {@link VmCore} with fake targets, links and log. */
final class ScenarioVm {
  private static final Duration RETENTION = Duration.ofHours(1);
  private static final byte[] KEY =
      "0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

  final VmEntry entry;
  final VmCore core;
  final ScenarioNetwork.VmPort port;
  final List<Long> versions = new ArrayList<>();
  final List<String> events = new ArrayList<>();
  final Set<RegionName> regionsOutsideHome = new java.util.HashSet<>();
  private final PausableScheduler scheduler;
  private boolean paused;
  private boolean killed;

  ScenarioVm(
      VmEntry entry,
      VirtualTimeScheduler time,
      PlatformLog log,
      VmList vmList,
      ScenarioNetwork network,
      ScenarioTargets targets,
      long seed) {
    this.entry = entry;
    this.scheduler = new PausableScheduler(time);
    this.port = network.port(entry);
    this.core =
        new VmCore(
            entry,
            Balancing.OWNER,
            RETENTION,
            new NodeSecrets(KEY, KEY),
            log,
            vmList,
            port,
            peers -> {},
            targets.senderFrom(entry.place()),
            port,
            scheduler,
            new SplittableRandom(seed),
            (code, fields) -> events.add(targets.nowMillis() + " " + code + List.of(fields)));
    core.start();
    core.config().changes().map(Configuration::version).subscribe(versions::add);
    network.join(port, this);
  }

  static CallResult lostResult() {
    return new CallResult.Lost(
        new ResponseTimeoutException("No response in the scenario."), Optional.empty());
  }

  Mono<CallResult> handleHop(Call call, PoolId pool) {
    if (!call.info().allowsRegion(entry.place().region())) {
      regionsOutsideHome.add(entry.place().region());
    }
    return core.ownedPools().handle(call, pool, () -> {});
  }

  boolean paused() {
    return paused;
  }

  boolean wasKilled() {
    return killed;
  }

  void pause(ScenarioNetwork network) {
    paused = true;
    scheduler.pause();
    network.updateReachability(port);
  }

  void resume(ScenarioNetwork network) {
    paused = false;
    scheduler.resume();
    network.updateReachability(port);
  }

  /** Ends the process without notifying its peers. */
  void kill(ScenarioNetwork network) {
    killed = true;
    scheduler.stop();
    network.remove(port);
  }
}
