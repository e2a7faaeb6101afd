package org.radishpost.node;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.radishpost.config.Configuration;
import org.radishpost.errors.AnswerTimeoutException;
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

/** One VM of a scenario: the real decisions over fakes. */
final class ScenarioVm {
  private static final Duration RETENTION = Duration.ofHours(1);
  private static final byte[] KEY =
      "0123456789abcdef0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

  final VmEntry entry;
  final VmCore core;
  final ScenarioNet.Port port;
  final List<Long> versions = new ArrayList<>();
  final List<String> events = new ArrayList<>();
  final Set<RegionName> homeViolations = new java.util.HashSet<>();
  private final PausableScheduler scheduler;
  private boolean paused;
  private boolean ended;

  ScenarioVm(
      VmEntry entry,
      VirtualTimeScheduler time,
      PlatformLog log,
      VmList list,
      ScenarioNet net,
      ScenarioTargets targets,
      long seed) {
    this.entry = entry;
    this.scheduler = new PausableScheduler(time);
    this.port = net.port(entry);
    this.core =
        new VmCore(
            entry,
            Balancing.OWNER,
            RETENTION,
            new NodeSecrets(KEY, KEY),
            log,
            list,
            port,
            wanted -> {},
            targets.from(entry.place()),
            port,
            scheduler,
            new SplittableRandom(seed),
            (code, fields) -> events.add(targets.nowMillis() + " " + code + List.of(fields)));
    core.start();
    core.config().changes().map(Configuration::version).subscribe(versions::add);
    net.join(port, this);
  }

  static CallResult lost() {
    return new CallResult.Lost(
        new AnswerTimeoutException("No answer in the scenario."), Optional.empty());
  }

  Mono<CallResult> hop(Call call, PoolId pool) {
    if (!call.facts().allows(entry.place().region())) {
      homeViolations.add(entry.place().region());
    }
    return core.pools().handle(call, pool, () -> {});
  }

  boolean paused() {
    return paused;
  }

  boolean ended() {
    return ended;
  }

  void pause(ScenarioNet net) {
    paused = true;
    scheduler.pause();
    net.silent(port);
  }

  void resume(ScenarioNet net) {
    paused = false;
    scheduler.resume();
    net.silent(port);
  }

  /** Ends the process without a farewell. */
  void kill(ScenarioNet net) {
    ended = true;
    scheduler.stop();
    net.leave(port);
  }
}
