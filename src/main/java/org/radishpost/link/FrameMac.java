package org.radishpost.link;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Optional;
import javax.crypto.Mac;

/**
 * Seals or opens the frames of one direction of a link; for one thread.
 *
 * <p>The seal covers the number of the frame, so that none can be changed, repeated, dropped or
 * moved unnoticed.
 */
final class FrameMac {
  /** Length of a seal. */
  static final int MAC_BYTES = 16;

  private final Mac mac;
  private long lastSequence;

  FrameMac(byte[] key) {
    this.mac = SessionKeys.mac(key);
  }

  /** Returns the seal of the next frame. */
  byte[] compute(byte[] frame) {
    return computeNext(frame, frame.length);
  }

  /** Returns the next frame without its seal, or nothing when the seal does not fit. */
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
