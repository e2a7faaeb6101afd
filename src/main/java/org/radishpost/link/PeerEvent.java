package org.radishpost.link;

import org.radishpost.lib.VmId;

/** What happens on the links of this VM. */
public sealed interface PeerEvent {
  /** Returns the peer that is meant. */
  VmId peer();

  /**
   * A link stands and both ends have proved themselves.
   *
   * @param peer the peer
   */
  record Up(VmId peer) implements PeerEvent {}

  /**
   * The last link to the peer is gone, or it has been silent for too long.
   *
   * @param peer the peer
   */
  record Down(VmId peer) implements PeerEvent {}

  /**
   * A message that asks for no answer.
   *
   * @param peer the sender
   * @param message the message
   */
  record Told(VmId peer, LinkMessage message) implements PeerEvent {}
}
