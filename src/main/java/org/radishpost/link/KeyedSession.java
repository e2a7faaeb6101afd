package org.radishpost.link;

import java.util.concurrent.atomic.AtomicLong;
import org.radishpost.lib.Digest;
import org.radishpost.lib.VmId;

/** A session whose proofs are keyed digests of the number and the text; thread-safe. */
final class KeyedSession implements LinkSession {
  private final VmId peer;
  private final SessionKeys keys;
  private final Runnable onUse;
  private final AtomicLong sequence = new AtomicLong();
  private final ReplayWindow window = new ReplayWindow();

  KeyedSession(VmId peer, SessionKeys keys, Runnable onUse) {
    this.peer = peer;
    this.keys = keys;
    this.onUse = onUse;
  }

  @Override
  public VmId peer() {
    return peer;
  }

  @Override
  public String id() {
    return keys.id();
  }

  @Override
  public long nextSequence() {
    onUse.run();
    return sequence.incrementAndGet();
  }

  @Override
  public Digest prove(long number, String text) {
    return Digest.hmac(keys.sendProofs(), number + "|" + text);
  }

  @Override
  public boolean accept(long number, String text, Digest proof) {
    Digest expected = Digest.hmac(keys.receiveProofs(), number + "|" + text);
    if (!expected.matches(proof) || !window.take(number)) {
      return false;
    }
    onUse.run();
    return true;
  }
}
