package org.radishpost.link;

import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The keys of one session, one for each purpose and direction.
 *
 * @param id the ID of the session, not secret
 * @param sendFrameKey authenticates the frames that this end sends
 * @param receiveFrameKey authenticates the frames that the peer sends
 * @param sendHopKey authenticates the hops that this end sends outside the link
 * @param receiveHopKey authenticates the hops that the peer sends outside the link
 */
record SessionKeys(
    String id,
    byte[] sendFrameKey,
    byte[] receiveFrameKey,
    byte[] sendHopKey,
    byte[] receiveHopKey) {
  private static final String HMAC = "HmacSHA256";
  private static final int ID_CHARS = 32;

  /**
   * Derives the keys of one end from the session secret.
   *
   * @param dialer whether this end is the dialer
   */
  static SessionKeys derive(byte[] secret, boolean dialer) {
    byte[] dialerFrameKey = hmac(secret, "frames of the dialer");
    byte[] acceptorFrameKey = hmac(secret, "frames of the acceptor");
    byte[] dialerHopKey = hmac(secret, "proofs of the dialer");
    byte[] acceptorHopKey = hmac(secret, "proofs of the acceptor");
    String id = HexFormat.of().formatHex(hmac(secret, "name")).substring(0, ID_CHARS);
    return dialer
        ? new SessionKeys(id, dialerFrameKey, acceptorFrameKey, dialerHopKey, acceptorHopKey)
        : new SessionKeys(id, acceptorFrameKey, dialerFrameKey, acceptorHopKey, dialerHopKey);
  }

  /** Returns the HMAC of the bytes. */
  static byte[] hmac(byte[] key, byte[] bytes) {
    return mac(key).doFinal(bytes);
  }

  private static byte[] hmac(byte[] key, String text) {
    return hmac(key, text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns an initialized HMAC, which is not thread-safe. */
  static Mac mac(byte[] key) {
    try {
      Mac mac = Mac.getInstance(HMAC);
      mac.init(new SecretKeySpec(key, HMAC));
      return mac;
    } catch (NoSuchAlgorithmException | InvalidKeyException e) {
      throw new IllegalStateException("every Java platform supports " + HMAC, e);
    }
  }
}
