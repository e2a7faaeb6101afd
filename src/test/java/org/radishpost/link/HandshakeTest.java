package org.radishpost.link;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.radishpost.errors.LinkException;
import org.radishpost.store.VmEntry;
import org.testng.annotations.Test;

/** The proof of both ends, without sockets. */
public class HandshakeTest {
  private static final VmEntry ONE = LinkFixture.entry("secret-one", 1);
  private static final VmEntry TWO = LinkFixture.entry("secret-two", 2);
  private static final byte[] OTHER_KEY = "another key".getBytes(StandardCharsets.UTF_8);

  private final Random random = new Random(3);

  private byte[] nonce() {
    byte[] nonce = new byte[Handshake.NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }

  private Handshake dialer(byte[] key) {
    return Handshake.dial(key, ONE, nonce());
  }

  private Handshake acceptor(byte[] key) {
    return Handshake.accept(key, TWO, nonce());
  }

  /** Lets two ends talk; returns all frames of the dialer. */
  private static List<byte[]> talk(Handshake dialer, Handshake acceptor) throws LinkException {
    List<byte[]> sent = new ArrayList<>(List.of(dialer.hello()));
    sent.add(dialer.receive(acceptor.receive(sent.get(0)).reply().orElseThrow()).reply().get());
    Handshake.Step named = acceptor.receive(sent.get(1));
    Handshake.Step proved = dialer.receive(named.reply().orElseThrow());
    sent.add(proved.reply().orElseThrow());
    Handshake.Step last = acceptor.receive(sent.get(2));
    assertEquals(proved.proved().map(Handshake.Proved::peer), Optional.of(TWO));
    assertEquals(last.proved().map(Handshake.Proved::peer), Optional.of(ONE));
    assertEquals(last.proved().get().keys().id(), proved.proved().get().keys().id());
    return sent;
  }

  @Test
  public void bothEndsLearnEachOther() throws LinkException {
    talk(dialer(LinkFixture.KEY), acceptor(LinkFixture.KEY));
  }

  @Test
  public void wrongKeyLearnsNoName() throws LinkException {
    Handshake dialer = dialer(OTHER_KEY);
    Handshake acceptor = acceptor(LinkFixture.KEY);
    byte[] acceptorHello = acceptor.receive(dialer.hello()).reply().orElseThrow();
    byte[] knowledge = dialer.receive(acceptorHello).reply().orElseThrow();
    assertThrows(LinkException.class, () -> acceptor.receive(knowledge));
    for (byte[] frame : List.of(acceptorHello, dialer.hello(), knowledge)) {
      assertFalse(new String(frame, StandardCharsets.ISO_8859_1).contains("secret"));
    }
  }

  @Test
  public void recordedFramesProveNothingToNewNonces() throws LinkException {
    List<byte[]> recorded = talk(dialer(LinkFixture.KEY), acceptor(LinkFixture.KEY));
    Handshake acceptor = acceptor(LinkFixture.KEY);
    acceptor.receive(recorded.get(0));
    assertThrows(LinkException.class, () -> acceptor.receive(recorded.get(1)));
  }

  @Test
  public void ownProofsAreNotTakenBack() throws LinkException {
    Handshake victim = dialer(LinkFixture.KEY);
    byte[] knowledge = victim.receive(victim.hello()).reply().orElseThrow();
    assertThrows(LinkException.class, () -> victim.receive(knowledge));
  }

  @Test
  public void ownIdentityIsRefused() throws LinkException {
    Handshake clone = Handshake.dial(LinkFixture.KEY, TWO, nonce());
    Handshake acceptor = acceptor(LinkFixture.KEY);
    byte[] knowledge =
        clone.receive(acceptor.receive(clone.hello()).reply().orElseThrow()).reply().orElseThrow();
    byte[] named = acceptor.receive(knowledge).reply().orElseThrow();
    assertThrows(LinkException.class, () -> clone.receive(named));
  }

  @Test
  public void changedRepeatedOrLostFramesBreakTheSeal() {
    byte[] key = nonce();
    FrameSeal sender = new FrameSeal(key);
    byte[] first = sealed(sender, "first");
    final byte[] second = sealed(sender, "second");
    assertTrue(new FrameSeal(key).open(first).isPresent());
    assertTrue(new FrameSeal(key).open(second).isEmpty(), "the first was dropped");
    FrameSeal receiver = new FrameSeal(key);
    receiver.open(first);
    assertTrue(receiver.open(first).isEmpty(), "repeated");
    first[0]++;
    assertTrue(new FrameSeal(key).open(first).isEmpty(), "changed");
  }

  private static byte[] sealed(FrameSeal seal, String text) {
    byte[] frame = text.getBytes(StandardCharsets.UTF_8);
    byte[] sealed = Arrays.copyOf(frame, frame.length + FrameSeal.SEAL_BYTES);
    System.arraycopy(seal.seal(frame), 0, sealed, frame.length, FrameSeal.SEAL_BYTES);
    return sealed;
  }
}
