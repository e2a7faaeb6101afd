package org.radishpost.platform;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.radishpost.errors.StoreException;

/**
 * The newest era of the store that a response has named; thread-safe.
 *
 * <p>The era rises each time the store is restored from an earlier copy. Offsets of different eras
 * must not be compared.
 */
final class StoreEra {
  /** The era of a store that names none. */
  private static final long UNNAMED = 0;

  private final AtomicLong newest = new AtomicLong(UNNAMED);

  /** Returns the newest era; 0 until a response has named one. */
  long newest() {
    return newest.get();
  }

  /**
   * Returns the era in which a response was created.
   *
   * @param header the value of the response's era header; without one, the newest era is assumed
   * @throws StoreException if the header is not a number
   */
  long record(Optional<String> header) throws StoreException {
    if (header.isEmpty()) {
      return newest.get();
    }
    long era = parse(header.get());
    newest.accumulateAndGet(era, Math::max);
    return era;
  }

  private static long parse(String header) throws StoreException {
    try {
      return Long.parseLong(header.trim());
    } catch (NumberFormatException e) {
      throw new StoreException("The store's era is not a number: check the store.", e);
    }
  }
}
