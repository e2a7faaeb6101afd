package org.radishpost.node;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import org.radishpost.lib.VmId;
import org.radishpost.link.LinkMessage;
import org.radishpost.link.LinkSession;
import org.radishpost.link.Links;
import org.radishpost.link.PeerEvent;
import org.radishpost.store.VmEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Links that are created later than the objects that use them.
 *
 * @param supplier returns the links, which must exist before the first use
 */
record DeferredLinks(Supplier<? extends Links> supplier) implements Links {
  @Override
  public boolean sendMessage(VmId peer, LinkMessage message) {
    return supplier.get().sendMessage(peer, message);
  }

  @Override
  public Mono<LinkMessage> request(VmId peer, LinkMessage message, Duration limit) {
    return supplier.get().request(peer, message, limit);
  }

  @Override
  public void setRequestHandler(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> handler) {
    supplier.get().setRequestHandler(handler);
  }

  @Override
  public Flux<PeerEvent> events() {
    return supplier.get().events();
  }

  @Override
  public void connect(VmEntry peer) {
    supplier.get().connect(peer);
  }

  @Override
  public Optional<LinkSession> session(VmId peer) {
    return supplier.get().session(peer);
  }

  @Override
  public Optional<LinkSession> session(VmId peer, String id) {
    return supplier.get().session(peer, id);
  }
}
