package org.radishpost.node;

import java.util.HexFormat;
import java.util.random.RandomGenerator;
import org.radishpost.manifest.RouteSpec;

/**
 * The secrets for the keyed digests of idempotency keys.
 *
 * <p>Routes with home regions use a secret that only VMs in such regions have, so other readers of
 * the log learn nothing about the keys. Thread-safe.
 */
final class ClaimSecrets {
  private static final int NONCE_BYTES = 16;

  private final byte[] sharedSecret;
  private final byte[] homeSecret;
  private final RandomGenerator random;

  /**
   * Creates the secrets.
   *
   * @param sharedSecret the secret that all VMs have
   * @param homeSecret the secret that only VMs in home regions have
   * @param random a source of unpredictable random numbers
   */
  ClaimSecrets(byte[] sharedSecret, byte[] homeSecret, RandomGenerator random) {
    this.sharedSecret = sharedSecret.clone();
    this.homeSecret = homeSecret.clone();
    this.random = random;
  }

  /** Returns the secret for a route's keys; the array must not be modified. */
  byte[] secretFor(RouteSpec route) {
    return route.homeRegions().isEmpty() ? sharedSecret : homeSecret;
  }

  /** Returns a unique random text. */
  String nonce() {
    byte[] bytes = new byte[NONCE_BYTES];
    synchronized (random) {
      random.nextBytes(bytes);
    }
    return HexFormat.of().formatHex(bytes);
  }
}
