package org.radishpost.link;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.radishpost.errors.LinkException;
import org.radishpost.store.VmEntry;

/**
 * Mutual authentication of the two ends of a link by the shared key, without I/O; not thread-safe.
 *
 * <p>The frames, in order:
 *
 * <ol>
 *   <li>The dialer sends a nonce.
 *   <li>The acceptor sends a nonce.
 *   <li>The dialer sends a MAC over both nonces.
 *   <li>The acceptor verifies the MAC and sends its {@link VmEntry} with a MAC over it.
 *   <li>The dialer verifies the MAC and sends its own {@link VmEntry} with a MAC over both entries.
 * </ol>
 *
 * <p>A peer that has not shown that it holds the key receives only a nonce and a MAC, never the
 * identity of this VM.
 */
final class Handshake {
  /** The version of the link protocol that this release implements. */
  static final int PROTOCOL_VERSION = 1;

  /** Length of a nonce. */
  static final int NONCE_BYTES = 32;

  private static final int MAC_BYTES = 32;
  private static final String MAGIC = "radishpost";

  private final byte[] key;
  private final VmEntry self;
  private final byte[] ownNonce;
  private final boolean dialer;
  private byte[] dialerNonce;
  private byte[] acceptorNonce;
  private byte[] acceptorEntry = {};
  private State state;

  private enum State {
    AWAIT_HELLO,
    AWAIT_DIALER_MAC,
    AWAIT_ACCEPTOR_ENTRY,
    AWAIT_DIALER_ENTRY,
    DONE
  }

  /**
   * The result of processing a frame.
   *
   * @param response the frame to send, if any
   * @param authenticated the peer, once it is authenticated
   */
  record Step(Optional<byte[]> response, Optional<AuthenticatedPeer> authenticated) {}

  /**
   * A peer that holds the shared key.
   *
   * @param peer the peer's entry, as received and authenticated
   * @param keys the keys of the session
   */
  record AuthenticatedPeer(VmEntry peer, SessionKeys keys) {}

  private Handshake(byte[] key, VmEntry self, byte[] nonce, boolean dialer) {
    this.key = key.clone();
    this.self = self;
    this.ownNonce = nonce.clone();
    this.dialer = dialer;
    this.state = State.AWAIT_HELLO;
  }

  /** Creates the dialer's end, which sends {@link #hello} first. */
  static Handshake dial(byte[] key, VmEntry self, byte[] nonce) {
    return new Handshake(key, self, nonce, true);
  }

  /** Creates the acceptor's end, which waits for the dialer's hello. */
  static Handshake accept(byte[] key, VmEntry self, byte[] nonce) {
    return new Handshake(key, self, nonce, false);
  }

  /** Returns the first frame of this end: protocol name, version and nonce. */
  byte[] hello() {
    return pack(
        packer -> {
          packer.packString(MAGIC);
          packer.packInt(PROTOCOL_VERSION);
          packBytes(packer, ownNonce);
        });
  }

  /**
   * Processes a received frame.
   *
   * @throws LinkException if the peer failed to authenticate; the caller must close the connection
   */
  Step receive(byte[] frame) throws LinkException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
      return switch (state) {
        case AWAIT_HELLO -> receiveHello(unpacker);
        case AWAIT_DIALER_MAC -> receiveDialerMac(unpacker);
        case AWAIT_ACCEPTOR_ENTRY -> receiveAcceptorEntry(unpacker);
        case AWAIT_DIALER_ENTRY -> receiveDialerEntry(unpacker);
        case DONE -> throw new IllegalStateException("the handshake is complete");
      };
    } catch (IOException | MessagePackException e) {
      throw new LinkException(
          "The peer does not use the link protocol. "
              + "Check which process connects to the link address.",
          e);
    }
  }

  private Step receiveHello(MessageUnpacker unpacker) throws IOException, LinkException {
    if (!MAGIC.equals(
        new String(
            unpackBytes(unpacker, unpacker.unpackRawStringHeader(), 16), StandardCharsets.UTF_8))) {
      throw new LinkException(
          "The peer is not a radishpost VM. Check which process connects to the link address.");
    }
    int version = unpacker.unpackInt();
    if (version != PROTOCOL_VERSION) {
      throw new LinkException(
          "The peer uses link protocol version "
              + version
              + ", this VM uses version "
              + PROTOCOL_VERSION
              + ". Upgrade the older VM.");
    }
    byte[] nonce = unpackBytes(unpacker, unpacker.unpackBinaryHeader(), NONCE_BYTES);
    if (nonce.length != NONCE_BYTES) {
      throw new LinkException("The peer's nonce is too short. Upgrade the peer.");
    }
    dialerNonce = dialer ? ownNonce : nonce;
    acceptorNonce = dialer ? nonce : ownNonce;
    state = dialer ? State.AWAIT_ACCEPTOR_ENTRY : State.AWAIT_DIALER_MAC;
    return respond(dialer ? pack(p -> packBytes(p, mac("dialer knows"))) : hello());
  }

  private Step receiveDialerMac(MessageUnpacker unpacker) throws IOException, LinkException {
    verifyMac(unpacker, "dialer knows");
    acceptorEntry = LinkMapper.write(self);
    state = State.AWAIT_DIALER_ENTRY;
    return respond(
        pack(
            packer -> {
              packBytes(packer, mac("acceptor", acceptorEntry));
              packBytes(packer, acceptorEntry);
            }));
  }

  private Step receiveAcceptorEntry(MessageUnpacker unpacker) throws IOException, LinkException {
    byte[] mac = unpackBytes(unpacker, unpacker.unpackBinaryHeader(), MAC_BYTES);
    acceptorEntry =
        unpackBytes(unpacker, unpacker.unpackBinaryHeader(), Frame.MAX_UNAUTHENTICATED_BYTES);
    requireEqualMacs(mac, mac("acceptor", acceptorEntry));
    byte[] ownEntry = LinkMapper.write(self);
    VmEntry peer = decodePeer(acceptorEntry);
    state = State.DONE;
    byte[] response =
        pack(
            packer -> {
              packBytes(packer, mac("dialer", ownEntry, acceptorEntry));
              packBytes(packer, ownEntry);
            });
    return new Step(Optional.of(response), Optional.of(authenticatedPeer(peer, ownEntry)));
  }

  private Step receiveDialerEntry(MessageUnpacker unpacker) throws IOException, LinkException {
    byte[] mac = unpackBytes(unpacker, unpacker.unpackBinaryHeader(), MAC_BYTES);
    byte[] entry =
        unpackBytes(unpacker, unpacker.unpackBinaryHeader(), Frame.MAX_UNAUTHENTICATED_BYTES);
    requireEqualMacs(mac, mac("dialer", entry, acceptorEntry));
    VmEntry peer = decodePeer(entry);
    state = State.DONE;
    return new Step(Optional.empty(), Optional.of(authenticatedPeer(peer, entry)));
  }

  private AuthenticatedPeer authenticatedPeer(VmEntry peer, byte[] dialerEntry) {
    byte[] secret = mac("session", dialerEntry, acceptorEntry);
    return new AuthenticatedPeer(peer, SessionKeys.derive(secret, dialer));
  }

  private VmEntry decodePeer(byte[] entry) throws LinkException {
    VmEntry peer = LinkMapper.read(entry, VmEntry.class);
    if (peer.id().equals(self.id())) {
      throw new LinkException(
          "The peer has the same ID as this VM: " + self.id() + ". Give each VM a unique ID.");
    }
    return peer;
  }

  private void verifyMac(MessageUnpacker unpacker, String purpose)
      throws IOException, LinkException {
    byte[] mac = unpackBytes(unpacker, unpacker.unpackBinaryHeader(), MAC_BYTES);
    requireEqualMacs(mac, mac(purpose));
  }

  private static void requireEqualMacs(byte[] mac, byte[] expected) throws LinkException {
    if (!MessageDigest.isEqual(mac, expected)) {
      throw new LinkException(
          "The peer has a different shared key. Check the key in the settings of both VMs.");
    }
  }

  private byte[] mac(String purpose, byte[]... parts) {
    return SessionKeys.hmac(
        key,
        pack(
            packer -> {
              packer.packString(purpose);
              packer.packInt(PROTOCOL_VERSION);
              packBytes(packer, dialerNonce);
              packBytes(packer, acceptorNonce);
              for (byte[] part : parts) {
                packBytes(packer, part);
              }
            }));
  }

  private static Step respond(byte[] frame) {
    return new Step(Optional.of(frame), Optional.empty());
  }

  private interface FrameWriter {
    void writeTo(MessageBufferPacker packer) throws IOException;
  }

  private static byte[] pack(FrameWriter writer) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      writer.writeTo(packer);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing MessagePack into memory failed", e);
    }
  }

  private static void packBytes(MessageBufferPacker packer, byte[] bytes) throws IOException {
    packer.packBinaryHeader(bytes.length);
    packer.writePayload(bytes);
  }

  private static byte[] unpackBytes(MessageUnpacker unpacker, int length, int maxBytes)
      throws IOException, LinkException {
    if (length > maxBytes) {
      throw new LinkException(
          "A field of the peer's handshake is too long. "
              + "Check which process connects to the link address.");
    }
    return unpacker.readPayload(length);
  }
}
