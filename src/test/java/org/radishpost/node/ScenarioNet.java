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
import org.radishpost.http.Hops;
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

/** The links and hops between the VMs of a scenario, with cuts. */
final class ScenarioNet {
  private static final long DETECT_MILLIS = 80;

  private final Scheduler time;
  private final Map<VmId, Port> ports = new LinkedHashMap<>();
  final Map<Digest, Set<String>> suspectsHeard = new LinkedHashMap<>();
  private final Set<Set<VmId>> cuts = new HashSet<>();

  ScenarioNet(Scheduler time) {
    this.time = time;
  }

  Port port(VmEntry entry) {
    return ports.computeIfAbsent(entry.id(), id -> new Port(entry));
  }

  /** Joins a VM to all others. */
  void join(Port joining, ScenarioVm vm) {
    joining.vm = Optional.of(vm);
    for (Port other : ports.values()) {
      if (other != joining && other.vm.isPresent()) {
        other.up(joining);
        joining.up(other);
      }
    }
  }

  /** Ends a VM; its peers see it at once, as its connections are reset. */
  void leave(Port leaving) {
    leaving.vm = Optional.empty();
    ports.values().forEach(other -> other.down(leaving));
  }

  /** Lets everything between two VMs vanish, or pass again; both see it a little later. */
  void cut(VmId one, VmId two, boolean isCut) {
    boolean changed = isCut ? cuts.add(Set.of(one, two)) : cuts.remove(Set.of(one, two));
    if (changed) {
      time.schedule(
          () -> {
            ports.get(one).see(ports.get(two));
            ports.get(two).see(ports.get(one));
          },
          DETECT_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  /** Shows a VM's peers that it has become silent, or that it is heard again. */
  void silent(Port quiet) {
    time.schedule(
        () -> ports.values().forEach(other -> other.see(quiet)),
        DETECT_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private boolean open(Port one, Port two) {
    return one.alive() && two.alive() && !cuts.contains(Set.of(one.id(), two.id()));
  }

  private Mono<Long> way(Port one, Port two) {
    long micros = ScenarioWorld.wayMicros(one.entry.place(), two.entry.place());
    return Mono.delay(Duration.ofNanos(1_000 * micros), time).filter(tick -> open(one, two));
  }

  /** What one VM sees of the links, and its hops. */
  final class Port implements Links, Hops {
    private final VmEntry entry;
    private final Sinks.Many<PeerEvent> emitted = Sinks.many().multicast().directBestEffort();
    private final Set<VmId> linked = new HashSet<>();
    private Optional<ScenarioVm> vm = Optional.empty();
    private BiFunction<VmId, LinkMessage, Mono<LinkMessage>> answerer = (p, m) -> Mono.empty();

    private Port(VmEntry entry) {
      this.entry = entry;
    }

    private VmId id() {
      return entry.id();
    }

    private boolean alive() {
      return vm.isPresent() && !vm.get().paused();
    }

    private void up(Port other) {
      if (vm.isPresent() && linked.add(other.id())) {
        emitted.tryEmitNext(new PeerEvent.Up(other.entry));
      }
    }

    private void down(Port other) {
      if (linked.remove(other.id())) {
        emitted.tryEmitNext(new PeerEvent.Down(other.id()));
      }
    }

    private void see(Port other) {
      if (other == this) {
        return;
      }
      if (open(this, other)) {
        up(other);
        other.up(this);
      } else {
        down(other);
      }
    }

    @Override
    public boolean send(VmId peer, LinkMessage message) {
      if (!linked.contains(peer)) {
        return false;
      }
      if (message instanceof LinkMessage.SuspectReport suspect) {
        suspectsHeard
            .computeIfAbsent(suspect.fingerprint(), unused -> new HashSet<>())
            .add(ports.get(peer).entry.place().region().value());
      }
      way(this, ports.get(peer))
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
      if (!linked.contains(peer)) {
        return Mono.error(new LinkException("No link in the scenario."));
      }
      Port other = ports.get(peer);
      return way(this, other)
          .flatMap(tick -> other.answerer.apply(id(), message))
          .flatMap(answer -> way(other, this).thenReturn(answer))
          .switchIfEmpty(Mono.never())
          .timeout(limit, Mono.error(() -> new LinkException("No answer in time.")), time);
    }

    @Override
    public void setRequestHandler(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> newAnswerer) {
      answerer = newAnswerer;
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
      Port other = ports.get(owner.id());
      if (other == null || !linked.contains(owner.id()) || other.vm.isEmpty()) {
        return Mono.just(
            new CallResult.Unreachable(new NotConnectedException("No link in the scenario.")));
      }
      long left = call.facts().deadlineNanos() - time.now(TimeUnit.NANOSECONDS);
      return way(this, other)
          .flatMap(tick -> other.vm.get().hop(call, pool))
          .flatMap(result -> way(other, this).thenReturn(result))
          .switchIfEmpty(Mono.never())
          .timeout(Duration.ofNanos(Math.max(1, left)), Mono.just(ScenarioVm.lost()), time);
    }

    @Override
    public void taken(VmId owner, long sequence) {}
  }
}
