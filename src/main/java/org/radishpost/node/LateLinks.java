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
 * Links that are made later than those who use them.
 *
 * @param links gives the links once they are made
 */
record LateLinks(Supplier<? extends Links> links) implements Links {
  @Override
  public boolean send(VmId peer, LinkMessage message) {
    return links.get().send(peer, message);
  }

  @Override
  public Mono<LinkMessage> request(VmId peer, LinkMessage message, Duration limit) {
    return links.get().request(peer, message, limit);
  }

  @Override
  public void setRequestHandler(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> answerer) {
    links.get().setRequestHandler(answerer);
  }

  @Override
  public Flux<PeerEvent> events() {
    return links.get().events();
  }

  @Override
  public void connect(VmEntry peer) {
    links.get().connect(peer);
  }

  @Override
  public Optional<LinkSession> session(VmId peer) {
    return links.get().session(peer);
  }

  @Override
  public Optional<LinkSession> session(VmId peer, String id) {
    return links.get().session(peer, id);
  }
}
