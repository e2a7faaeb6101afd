package org.radishpost.link;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BiFunction;
import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The links of this VM to others; thread-safe. */
public interface Links {
  /**
   * Sends a message that expects no response; returns false if no link is open or its send queue is
   * full.
   */
  boolean sendMessage(VmId peer, LinkMessage message);

  /**
   * Sends a request to a peer.
   *
   * @return the response, or {@link org.radishpost.errors.LinkException} if none arrives in time
   */
  Mono<LinkMessage> request(VmId peer, LinkMessage message, Duration timeout);

  /** Sets the handler for the requests of peers. */
  void setRequestHandler(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> handler);

  /**
   * Emits the events of all peers on one thread, in order for each peer. Events are not replayed:
   * subscribe before the links are started.
   */
  Flux<PeerEvent> events();

  /** Opens a link to a VM unless one is open or being opened; does not block. */
  default void connect(VmEntry peer) {}

  /** Returns the session with a peer while a link is open. */
  Optional<LinkSession> session(VmId peer);

  /** Returns the session with that ID, also if a newer session recently replaced it. */
  default Optional<LinkSession> session(VmId peer, String id) {
    return session(peer).filter(session -> session.id().equals(id));
  }
}
