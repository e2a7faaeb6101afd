package org.radishpost.link;

import org.radishpost.lib.VmId;
import org.radishpost.store.VmEntry;

/** An event of the links to one peer. */
public sealed interface PeerEvent {
  /** Returns the peer whose links the event concerns. */
  VmId peer();

  /**
   * A link is open and both ends are authenticated; emitted again for each new session.
   *
   * @param entry the authenticated entry of the peer
   */
  record Up(VmEntry entry) implements PeerEvent {
    @Override
    public VmId peer() {
      return entry.id();
    }
  }

  /**
   * The last link to the peer was closed or timed out, or the peer could not be reached; emitted
   * again for each failed attempt to connect.
   *
   * @param peer the peer
   */
  record Down(VmId peer) implements PeerEvent {}

  /**
   * The last link to the peer was closed because it was no longer needed; the peer did not fail.
   *
   * @param peer the peer
   */
  record Released(VmId peer) implements PeerEvent {}

  /**
   * A message that expects no response arrived, or the peer's configuration version changed.
   *
   * @param peer the sender
   * @param message the message
   */
  record MessageReceived(VmId peer, LinkMessage message) implements PeerEvent {}
}
