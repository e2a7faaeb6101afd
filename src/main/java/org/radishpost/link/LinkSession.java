package org.radishpost.link;

import org.radishpost.lib.Digest;
import org.radishpost.lib.VmId;

/**
 * Session keys that two VMs share while a link is open. They authenticate calls that are sent on
 * other connections.
 */
public interface LinkSession {
  /** Returns the peer. */
  VmId peer();

  /** Returns the ID of the session, which is the same at both ends. */
  String id();

  /** Returns the next sequence number of this end, starting at 1. */
  long nextSequence();

  /** Returns the MAC of a text that this end sends under the sequence number. */
  Digest mac(long sequence, String text);

  /**
   * Returns whether the MAC is valid for a text of the peer and the sequence number was not used
   * before. A valid MAC marks the number as used.
   */
  boolean verify(long sequence, String text, Digest mac);
}
