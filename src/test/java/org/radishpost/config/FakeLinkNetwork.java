package org.radishpost.config;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
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

/** In-memory links between VMs, which tests can break and restore. */
final class FakeLinkNetwork {
  private static final long DELAY_MILLIS = 8;

  private final Scheduler scheduler;
  private final Map<VmId, FakeLinks> vms = new TreeMap<>();
  private final Set<Set<VmId>> brokenLinks = new HashSet<>();

  FakeLinkNetwork(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  FakeLinks add(VmId vm) {
    FakeLinks added = new FakeLinks(vm);
    vms.put(vm, added);
    return added;
  }

  /** Connects a VM with all other VMs. */
  void connect(VmId vm) {
    for (VmId other : vms.keySet()) {
      if (!other.equals(vm)) {
        deliver(other, vm, new PeerEvent.Up(entry(other)));
        deliver(vm, other, new PeerEvent.Up(entry(vm)));
      }
    }
  }

  void remove(VmId vm) {
    vms.remove(vm);
    vms.keySet().forEach(other -> deliver(vm, other, new PeerEvent.Down(vm)));
  }

  void breakLink(VmId one, VmId other) {
    if (brokenLinks.add(Set.of(one, other))) {
      vms.get(one).events.tryEmitNext(new PeerEvent.Down(other));
      vms.get(other).events.tryEmitNext(new PeerEvent.Down(one));
    }
  }

  void restoreLinks() {
    brokenLinks.clear();
    vms.keySet().forEach(this::connect);
  }

  /** Sends a heartbeat from one VM to all other VMs. */
  void sendHeartbeat(VmId from, long version) {
    for (VmId to : vms.keySet()) {
      if (!to.equals(from)) {
        deliver(from, to, new PeerEvent.MessageReceived(from, new LinkMessage.Heartbeat(version)));
      }
    }
  }

  private void deliver(VmId from, VmId to, PeerEvent event) {
    scheduler.schedule(
        () -> {
          FakeLinks receiver = vms.get(to);
          if (receiver != null && !from.equals(to) && !brokenLinks.contains(Set.of(from, to))) {
            receiver.events.tryEmitNext(event);
          }
        },
        DELAY_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private static VmEntry entry(VmId vm) {
    Endpoint any = new Endpoint("127.0.0.1", 1);
    return new VmEntry(vm, Place.of("kozep", "kozep-1"), any, any, false);
  }

  /** The links of one VM. */
  final class FakeLinks implements Links {
    private final VmId self;
    private final Sinks.Many<PeerEvent> events = Sinks.many().multicast().directBestEffort();

    private FakeLinks(VmId self) {
      this.self = self;
    }

    @Override
    public boolean sendMessage(VmId peer, LinkMessage message) {
      deliver(self, peer, new PeerEvent.MessageReceived(self, message));
      return true;
    }

    @Override
    public Mono<LinkMessage> request(VmId peer, LinkMessage message, Duration limit) {
      return Mono.empty();
    }

    @Override
    public void setRequestHandler(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> handler) {}

    @Override
    public Flux<PeerEvent> events() {
      return events.asFlux();
    }

    @Override
    public Optional<LinkSession> session(VmId peer) {
      return Optional.empty();
    }
  }
}
