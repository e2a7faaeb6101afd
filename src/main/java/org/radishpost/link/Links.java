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
  /** Tells a peer something; false when no link stands or its bounded queue is full. */
  boolean sendMessage(VmId peer, LinkMessage message);

  /**
   * Asks a peer and waits for the answer.
   *
   * @return the answer, or {@link org.radishpost.errors.LinkException} when none came in time
   */
  Mono<LinkMessage> request(VmId peer, LinkMessage message, Duration timeout);

  /** Sets who answers the messages that peers ask. */
  void setRequestHandler(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> handler);

  /** Emits what happens, in order for each peer, on one thread; subscribe before the start. */
  Flux<PeerEvent> events();

  /** Opens a link to a VM, unless one stands or is being opened; returns at once. */
  default void connect(VmEntry peer) {}

  /** Returns the session with a peer, while a link stands. */
  Optional<LinkSession> session(VmId peer);

  /** Returns the session of that name with a peer, also one that another has lately replaced. */
  default Optional<LinkSession> session(VmId peer, String id) {
    return session(peer).filter(session -> session.id().equals(id));
  }
}
