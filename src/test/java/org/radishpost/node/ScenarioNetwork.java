package org.radishpost.node;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.radishpost.errors.LinkException;
import org.radishpost.errors.NotConnectedException;
import org.radishpost.http.Call;
import org.radishpost.http.CallResult;
import org.radishpost.http.HopSender;
import org.radishpost.lib.Digest;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.VmId;
import org.radishpost.link.LinkMessage;
import org.radishpost.link.LinkSession;
import org.radishpost.link.Links;
import org.radishpost.link.PeerEvent;
import org.radishpost.store.VmEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/** The links and hops between the VMs of a scenario, which can be partitioned. */
final class ScenarioNetwork {
  private static final long DETECTION_MILLIS = 80;

  private final Scheduler time;
  private final Map<VmId, VmPort> ports = new LinkedHashMap<>();
  final Map<Digest, Set<String>> regionsBySuspect = new LinkedHashMap<>();
  private final Set<Set<VmId>> partitionedPairs = new HashSet<>();

  ScenarioNetwork(Scheduler time) {
    this.time = time;
  }

  VmPort port(VmEntry entry) {
    return ports.computeIfAbsent(entry.id(), id -> new VmPort(entry));
  }

  /** Links a VM to all others. */
  void join(VmPort joined, ScenarioVm vm) {
    joined.vm = Optional.of(vm);
    for (VmPort other : ports.values()) {
      if (other != joined && other.vm.isPresent()) {
        other.linkUp(joined);
        joined.linkUp(other);
      }
    }
  }

  /** Removes a VM; its peers detect this immediately, because its connections are reset. */
  void remove(VmPort removed) {
    removed.vm = Optional.empty();
    ports.values().forEach(other -> other.linkDown(removed));
  }

  /** Breaks or restores the link between two VMs; both detect the change after a delay. */
  void setPartitioned(VmId one, VmId two, boolean isPartitioned) {
    boolean changed =
        isPartitioned
            ? partitionedPairs.add(Set.of(one, two))
            : partitionedPairs.remove(Set.of(one, two));
    if (changed) {
      time.schedule(
          () -> {
            ports.get(one).updateLink(ports.get(two));
            ports.get(two).updateLink(ports.get(one));
          },
          DETECTION_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** Lets all VMs detect, after a delay, that a VM was paused or resumed. */
  void updateReachability(VmPort changed) {
    time.schedule(
        () -> ports.values().forEach(other -> other.updateLink(changed)),
        DETECTION_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private boolean canDeliver(VmPort one, VmPort two) {
    return one.isRunning()
        && two.isRunning()
        && !partitionedPairs.contains(Set.of(one.id(), two.id()));
  }

  private Mono<Long> delay(VmPort one, VmPort two) {
    long micros = ScenarioSimulation.latencyMicros(one.entry.place(), two.entry.place());
    return Mono.delay(Duration.ofNanos(1_000 * micros), time).filter(tick -> canDeliver(one, two));
  }

  /** The links and hops of one VM. */
  final class VmPort implements Links, HopSender {
    private final VmEntry entry;
    private final Sinks.Many<PeerEvent> emitted = Sinks.many().multicast().directBestEffort();
    private final Set<VmId> linkedPeers = new HashSet<>();
    private Optional<ScenarioVm> vm = Optional.empty();
    private BiFunction<VmId, LinkMessage, Mono<LinkMessage>> requestHandler =
        (p, m) -> Mono.empty();

    private VmPort(VmEntry entry) {
      this.entry = entry;
    }

    private VmId id() {
      return entry.id();
    }

    private boolean isRunning() {
      return vm.isPresent() && !vm.get().paused();
    }

    private void linkUp(VmPort other) {
      if (vm.isPresent() && linkedPeers.add(other.id())) {
        emitted.tryEmitNext(new PeerEvent.Up(other.entry));
      }
    }

    private void linkDown(VmPort other) {
      if (linkedPeers.remove(other.id())) {
        emitted.tryEmitNext(new PeerEvent.Down(other.id()));
      }
    }

    private void updateLink(VmPort other) {
      if (other == this) {
        return;
      }
      if (canDeliver(this, other)) {
        linkUp(other);
        other.linkUp(this);
      } else {
        linkDown(other);
      }
    }

    @Override
    public boolean sendMessage(VmId peer, LinkMessage message) {
      if (!linkedPeers.contains(peer)) {
        return false;
      }
      if (message instanceof LinkMessage.SuspectReport suspect) {
        regionsBySuspect
            .computeIfAbsent(suspect.fingerprint(), unused -> new HashSet<>())
            .add(ports.get(peer).entry.place().region().value());
      }
      delay(this, ports.get(peer))
          .subscribe(
              t ->
                  ports
                      .get(peer)
                      .emitted
                      .tryEmitNext(new PeerEvent.MessageReceived(id(), message)));
      return true;
    }

    @Override
    public Mono<LinkMessage> request(VmId peer, LinkMessage message, Duration limit) {
      if (!linkedPeers.contains(peer)) {
        return Mono.error(new LinkException("No link in the scenario."));
      }
      VmPort other = ports.get(peer);
      return delay(this, other)
          .flatMap(tick -> other.requestHandler.apply(id(), message))
          .flatMap(response -> delay(other, this).thenReturn(response))
          .switchIfEmpty(Mono.never())
          .timeout(
              limit, Mono.error(() -> new LinkException("No response before the timeout.")), time);
    }

    @Override
    public void setRequestHandler(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> handler) {
      requestHandler = handler;
    }

    @Override
    public Flux<PeerEvent> events() {
      return emitted.asFlux();
    }

    @Override
    public Optional<LinkSession> session(VmId peer) {
      return Optional.empty();
    }

    @Override
    public Mono<CallResult> send(Call call, PoolId pool, VmEntry owner) {
      VmPort other = ports.get(owner.id());
      if (other == null || !linkedPeers.contains(owner.id()) || other.vm.isEmpty()) {
        return Mono.just(
            new CallResult.Unreachable(new NotConnectedException("No link in the scenario.")));
      }
      long remainingNanos = call.info().deadlineNanos() - time.now(TimeUnit.NANOSECONDS);
      return delay(this, other)
          .flatMap(tick -> other.vm.get().handleHop(call, pool))
          .flatMap(result -> delay(other, this).thenReturn(result))
          .switchIfEmpty(Mono.never())
          .timeout(
              Duration.ofNanos(Math.max(1, remainingNanos)),
              Mono.just(ScenarioVm.lostResult()),
              time);
    }

    @Override
    public void onTargetAccepted(VmId owner, long sequence) {}
  }
}
