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
final class FrameSeal {
  /** Length of a seal. */
  static final int SEAL_BYTES = 16;

  private final Mac mac;
  private long number;

  FrameSeal(byte[] key) {
    this.mac = SessionKeys.mac(key);
  }

  /** Returns the seal of the next frame. */
  byte[] seal(byte[] frame) {
    return next(frame, frame.length);
  }

  /** Returns the next frame without its seal, or nothing when the seal does not fit. */
  Optional<byte[]> open(byte[] sealed) {
    int length = sealed.length - SEAL_BYTES;
    if (length < 0) {
      return Optional.empty();
    }
    byte[] seal = Arrays.copyOfRange(sealed, length, sealed.length);
    return MessageDigest.isEqual(seal, next(sealed, length))
        ? Optional.of(Arrays.copyOf(sealed, length))
        : Optional.empty();
  }

  private byte[] next(byte[] frame, int length) {
    mac.update(ByteBuffer.allocate(Long.BYTES).putLong(++number).flip());
    mac.update(frame, 0, length);
    return Arrays.copyOf(mac.doFinal(), SEAL_BYTES);
  }
}
