package org.radishpost.membership;

/**
 * Stable 64-bit hashing for rendezvous (highest random weight) hashing; the same on every JVM.
 *
 * <p>Each VM ID is hashed once. A choice then costs one mixing step for each candidate.
 */
final class RendezvousHash {
  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private RendezvousHash() {}

  /**
   * Returns the hash of the sequence of texts. Each text is followed by a separator, so ("ab", "c")
   * and ("a", "bc") have different hashes.
   */
  static long hash(String... texts) {
    long hash = FNV_OFFSET;
    for (String text : texts) {
      for (int i = 0; i < text.length(); i++) {
        hash = (hash ^ text.charAt(i)) * FNV_PRIME;
      }
      hash = (hash ^ Character.MAX_VALUE) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Returns the weight of a candidate for a key. */
  static long weight(long candidateHash, long keyHash) {
    return mix(candidateHash ^ keyHash);
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
