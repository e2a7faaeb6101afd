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

/** One VM with links on loopback. */
final class LinkFixture implements AutoCloseable {
  static final Duration LIMIT = Duration.ofSeconds(20);
  static final byte[] KEY = "the key of all VMs".getBytes(StandardCharsets.UTF_8);

  final TcpLinks links;
  final Flux<PeerEvent> seen;
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
    seen = links.events().replay().autoConnect(0);
    links.answerWith((peer, message) -> Mono.just(message));
    entry = links.start().block(LIMIT);
  }

  /** Returns a VM that minds no silence. */
  static LinkFixture patient(String id) {
    LinkOptions usual = LinkOptions.DEFAULT;
    LinkOptions patient =
        new LinkOptions(
            usual.beatInterval(),
            usual.idleBeatInterval(),
            1_000_000,
            usual.busyTime(),
            usual.connectLimit(),
            usual.reconnectFirst(),
            usual.reconnectMost(),
            usual.demandTime(),
            usual.queueFrames(),
            usual.queueBytes(),
            usual.pendingAsks(),
            usual.unprovedConnections());
    return new LinkFixture(id, KEY, patient);
  }

  static VmEntry entry(String id, int port) {
    Endpoint address = new Endpoint("127.0.0.1", port);
    return new VmEntry(new VmId(id), Place.of("kozep", "kozep-1"), address, address, false);
  }

  VmId id() {
    return entry.id();
  }

  void keep(VmEntry... peers) {
    links.keep(Set.of(peers));
  }

  /** Waits for the event. */
  void await(PeerEvent event) {
    seen.filter(event::equals).blockFirst(LIMIT);
  }

  @Override
  public void close() {
    links.stop().block(LIMIT);
    scheduler.dispose();
  }
}
