package org.radishpost.bench;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiFunction;
import org.radishpost.errors.LinkException;
import org.radishpost.lib.VmId;
import org.radishpost.link.LinkMessage;
import org.radishpost.link.LinkSession;
import org.radishpost.link.Links;
import org.radishpost.link.PeerEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Links without peers: sending has no effect and every request fails. */
final class DisconnectedLinks implements Links {
  @Override
  public boolean sendMessage(VmId peer, LinkMessage message) {
    return false;
  }

  @Override
  public Mono<LinkMessage> request(VmId peer, LinkMessage message, Duration timeout) {
    return Mono.error(new LinkException("This VM has no links. Start a VM with links."));
  }

  @Override
  public void setRequestHandler(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> handler) {}

  @Override
  public Flux<PeerEvent> events() {
    return Flux.never();
  }

  @Override
  public Optional<LinkSession> session(VmId peer) {
    return Optional.empty();
  }
}
