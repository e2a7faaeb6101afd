package org.radishpost.link;

import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Set;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.core.scheduler.Schedulers;

/** The links of one VM on the loopback interface. */
final class LinkFixture implements AutoCloseable {
  static final Duration TIMEOUT = Duration.ofSeconds(20);
  static final byte[] KEY = "the key of all VMs".getBytes(StandardCharsets.UTF_8);

  final TcpLinks links;
  final Flux<PeerEvent> receivedEvents;
  final VmEntry entry;
  private final Scheduler scheduler;

  LinkFixture(String id) {
    this(id, KEY, LinkOptions.DEFAULT);
  }

  LinkFixture(String id, byte[] key, LinkOptions options) {
    scheduler = Schedulers.newSingle("control-" + id, true);
    links =
        new TcpLinks(
            entry(id, 0), key, options, scheduler, (c, f) -> {}, new SecureRandom(), () -> 7);
    receivedEvents = links.events().replay().autoConnect(0);
    links.setRequestHandler((peer, message) -> Mono.just(message));
    entry = links.start().block(TIMEOUT);
  }

  /** Creates a VM whose links never time out for lack of heartbeats. */
  static LinkFixture withoutHeartbeatTimeout(String id) {
    LinkOptions defaults = LinkOptions.DEFAULT;
    LinkOptions options =
        new LinkOptions(
            defaults.heartbeatInterval(),
            defaults.idleHeartbeatInterval(),
            1_000_000,
            defaults.busyTime(),
            defaults.connectTimeout(),
            defaults.initialReconnectDelay(),
            defaults.maxReconnectDelay(),
            defaults.onDemandTime(),
            defaults.maxQueuedFrames(),
            defaults.maxQueuedBytes(),
            defaults.maxPendingRequests(),
            defaults.maxUnauthenticatedConnections());
    return new LinkFixture(id, KEY, options);
  }

  static VmEntry entry(String id, int port) {
    Endpoint address = new Endpoint("127.0.0.1", port);
    return new VmEntry(new VmId(id), Place.of("kozep", "kozep-1"), address, address, false);
  }

  VmId id() {
    return entry.id();
  }

  void setPersistentPeers(VmEntry... peers) {
    links.setPersistentPeers(Set.of(peers));
  }

  /** Waits until the event was received, also if it was received before the call. */
  void await(PeerEvent event) {
    receivedEvents.filter(event::equals).blockFirst(TIMEOUT);
  }

  @Override
  public void close() {
    links.stop().block(TIMEOUT);
    scheduler.dispose();
  }
}
