package org.radishpost.link;

import org.radishpost.lib.Digest;
import org.radishpost.lib.VmId;

/** The secret that two VMs share while a link stands, for proving calls that go beside it. */
public interface LinkSession {
  /** Returns the peer. */
  VmId peer();

  /** Returns the name of the session, the same at both ends. */
  String id();

  /** Returns a number that this end has not used on the session, from 1. */
  long nextSequence();

  /** Returns the proof of a text that this end sends. */
  Digest mac(long sequence, String text);

  /** Tells whether the peer proved the text and has not used the number before. */
  boolean verify(long sequence, String text, Digest mac);
}
