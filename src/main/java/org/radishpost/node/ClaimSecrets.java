package org.radishpost.node;

import java.util.HexFormat;
import java.util.random.RandomGenerator;
import org.radishpost.manifest.RouteSpec;

/**
 * The secrets that turn idempotency keys into digests.
 *
 * <p>Routes with home regions use a secret that only VMs of such regions know, so that the log's
 * other readers learn nothing. Thread-safe.
 */
final class ClaimSecrets {
  private static final int NONCE_BYTES = 16;

  private final byte[] sharedSecret;
  private final byte[] homeSecret;
  private final RandomGenerator random;

  /**
   * Creates the secrets.
   *
   * @param sharedSecret the secret of all VMs
   * @param homeSecret the secret of the VMs in home regions
   * @param random a source that nobody can foretell
   */
  ClaimSecrets(byte[] sharedSecret, byte[] homeSecret, RandomGenerator random) {
    this.sharedSecret = sharedSecret.clone();
    this.homeSecret = homeSecret.clone();
    this.random = random;
  }

  /** Returns the secret for a route's keys; not to be changed. */
  byte[] secretFor(RouteSpec route) {
    return route.homeRegions().isEmpty() ? sharedSecret : homeSecret;
  }

  /** Returns a text that is never returned again. */
  String nonce() {
    byte[] bytes = new byte[NONCE_BYTES];
    synchronized (random) {
      random.nextBytes(bytes);
    }
    return HexFormat.of().formatHex(bytes);
  }
}
