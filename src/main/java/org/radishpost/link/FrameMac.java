package org.radishpost.link;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import javax.crypto.Mac;

/**
 * Computes or verifies the MACs of the frames of one direction of a link; not thread-safe.
 *
 * <p>The MAC covers the sequence number of the frame, so changed, repeated, dropped and reordered
 * frames are detected.
 */
final class FrameMac {
  /** Length of the MAC after each frame, a truncated HMAC-SHA256. */
  static final int MAC_BYTES = 16;

  private final Mac mac;
  private long lastSequence;

  FrameMac(byte[] key) {
    this.mac = SessionKeys.mac(key);
  }

  /** Returns the MAC of the next frame to send. */
  byte[] compute(byte[] frame) {
    return computeNext(frame, frame.length);
  }

  /** Returns the next received frame without its MAC, or empty if the MAC is wrong. */
  Optional<byte[]> verify(byte[] frameWithMac) {
    int frameLength = frameWithMac.length - MAC_BYTES;
    if (frameLength < 0) {
      return Optional.empty();
    }
    byte[] received = Arrays.copyOfRange(frameWithMac, frameLength, frameWithMac.length);
    return MessageDigest.isEqual(received, computeNext(frameWithMac, frameLength))
        ? Optional.of(Arrays.copyOf(frameWithMac, frameLength))
        : Optional.empty();
  }

  private byte[] computeNext(byte[] frame, int length) {
    mac.update(ByteBuffer.allocate(Long.BYTES).putLong(++lastSequence).flip());
    mac.update(frame, 0, length);
    return Arrays.copyOf(mac.doFinal(), MAC_BYTES);
  }
}
