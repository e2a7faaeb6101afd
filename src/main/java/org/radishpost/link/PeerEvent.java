package org.radishpost.link;

import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;

/** What happens on the links of this VM. */
public sealed interface PeerEvent {
  /** Returns the peer that is meant. */
  VmId peer();

  /**
   * A link stands and both ends have proved themselves; it comes again for each new session.
   *
   * @param entry what the peer says of itself, covered by its proof
   */
  record Up(VmEntry entry) implements PeerEvent {
    @Override
    public VmId peer() {
      return entry.id();
    }
  }

  /**
   * The last link to the peer is gone, it has been silent for too long, or it could not be reached;
   * it comes again at each failed try.
   *
   * @param peer the peer
   */
  record Down(VmId peer) implements PeerEvent {}

  /**
   * The last link to the peer was closed because neither end needs it; nothing speaks against the
   * peer.
   *
   * @param peer the peer
   */
  record Released(VmId peer) implements PeerEvent {}

  /**
   * A message that asks for no answer.
   *
   * @param peer the sender
   * @param message the message
   */
  record MessageReceived(VmId peer, LinkMessage message) implements PeerEvent {}
}
