package org.radishpost.link;

import java.util.concurrent.atomic.AtomicLong;
import org.radishpost.lib.Digest;
import org.radishpost.lib.VmId;

/** A session whose MACs cover the sequence number and the text; thread-safe. */
final class MacSession implements LinkSession {
  private final VmId peer;
  private final SessionKeys keys;
  private final Runnable onUse;
  private final AtomicLong lastSequence = new AtomicLong();
  private final ReplayWindow replayWindow = new ReplayWindow();

  MacSession(VmId peer, SessionKeys keys, Runnable onUse) {
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
    return lastSequence.incrementAndGet();
  }

  @Override
  public Digest mac(long sequence, String text) {
    return Digest.hmac(keys.sendHopKey(), sequence + "|" + text);
  }

  @Override
  public boolean verify(long sequence, String text, Digest mac) {
    Digest expected = Digest.hmac(keys.receiveHopKey(), sequence + "|" + text);
    if (!expected.matches(mac) || !replayWindow.markUsed(sequence)) {
      return false;
    }
    onUse.run();
    return true;
  }
}
