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

/** The handshake of both ends and frame MACs, without sockets. */
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

  /** Runs a complete handshake; returns all frames of the dialer. */
  private static List<byte[]> runHandshake(Handshake dialer, Handshake acceptor)
      throws LinkException {
    List<byte[]> sent = new ArrayList<>(List.of(dialer.hello()));
    sent.add(
        dialer.receive(acceptor.receive(sent.get(0)).response().orElseThrow()).response().get());
    Handshake.Step acceptorEntry = acceptor.receive(sent.get(1));
    Handshake.Step dialerResult = dialer.receive(acceptorEntry.response().orElseThrow());
    sent.add(dialerResult.response().orElseThrow());
    Handshake.Step acceptorResult = acceptor.receive(sent.get(2));
    assertEquals(
        dialerResult.authenticated().map(Handshake.AuthenticatedPeer::peer), Optional.of(TWO));
    assertEquals(
        acceptorResult.authenticated().map(Handshake.AuthenticatedPeer::peer), Optional.of(ONE));
    assertEquals(
        acceptorResult.authenticated().get().keys().id(),
        dialerResult.authenticated().get().keys().id());
    return sent;
  }

  @Test
  public void bothEndsAuthenticateEachOther() throws LinkException {
    runHandshake(dialer(LinkFixture.KEY), acceptor(LinkFixture.KEY));
  }

  @Test
  public void peerWithWrongKeyLearnsNoIdentity() throws LinkException {
    Handshake dialer = dialer(OTHER_KEY);
    Handshake acceptor = acceptor(LinkFixture.KEY);
    byte[] acceptorHello = acceptor.receive(dialer.hello()).response().orElseThrow();
    byte[] dialerMac = dialer.receive(acceptorHello).response().orElseThrow();
    assertThrows(LinkException.class, () -> acceptor.receive(dialerMac));
    for (byte[] frame : List.of(acceptorHello, dialer.hello(), dialerMac)) {
      assertFalse(new String(frame, StandardCharsets.ISO_8859_1).contains("secret"));
    }
  }

  @Test
  public void replayedFramesFailAgainstNewNonce() throws LinkException {
    List<byte[]> recorded = runHandshake(dialer(LinkFixture.KEY), acceptor(LinkFixture.KEY));
    Handshake acceptor = acceptor(LinkFixture.KEY);
    acceptor.receive(recorded.get(0));
    assertThrows(LinkException.class, () -> acceptor.receive(recorded.get(1)));
  }

  @Test
  public void reflectedMacIsRejected() throws LinkException {
    Handshake victim = dialer(LinkFixture.KEY);
    byte[] dialerMac = victim.receive(victim.hello()).response().orElseThrow();
    assertThrows(LinkException.class, () -> victim.receive(dialerMac));
  }

  @Test
  public void ownIdentityIsRejected() throws LinkException {
    Handshake clone = Handshake.dial(LinkFixture.KEY, TWO, nonce());
    Handshake acceptor = acceptor(LinkFixture.KEY);
    byte[] dialerMac =
        clone
            .receive(acceptor.receive(clone.hello()).response().orElseThrow())
            .response()
            .orElseThrow();
    byte[] acceptorEntry = acceptor.receive(dialerMac).response().orElseThrow();
    assertThrows(LinkException.class, () -> clone.receive(acceptorEntry));
  }

  @Test
  public void changedRepeatedOrDroppedFramesFailVerification() {
    byte[] key = nonce();
    FrameMac sender = new FrameMac(key);
    byte[] first = withMac(sender, "first");
    final byte[] second = withMac(sender, "second");
    assertTrue(new FrameMac(key).verify(first).isPresent());
    assertTrue(new FrameMac(key).verify(second).isEmpty(), "the first was dropped");
    FrameMac receiver = new FrameMac(key);
    receiver.verify(first);
    assertTrue(receiver.verify(first).isEmpty(), "repeated");
    first[0]++;
    assertTrue(new FrameMac(key).verify(first).isEmpty(), "changed");
  }

  private static byte[] withMac(FrameMac mac, String text) {
    byte[] frame = text.getBytes(StandardCharsets.UTF_8);
    byte[] result = Arrays.copyOf(frame, frame.length + FrameMac.MAC_BYTES);
    System.arraycopy(mac.compute(frame), 0, result, frame.length, FrameMac.MAC_BYTES);
    return result;
  }
}
