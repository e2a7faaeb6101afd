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

/** Links of a VM that has no peers. */
final class NoLinks implements Links {
  @Override
  public boolean sendMessage(VmId peer, LinkMessage message) {
    return false;
  }

  @Override
  public Mono<LinkMessage> request(VmId peer, LinkMessage message, Duration limit) {
    return Mono.error(new LinkException("There are no links here: start a VM with links."));
  }

  @Override
  public void setRequestHandler(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> answerer) {}

  @Override
  public Flux<PeerEvent> events() {
    return Flux.never();
  }

  @Override
  public Optional<LinkSession> session(VmId peer) {
    return Optional.empty();
  }
}
