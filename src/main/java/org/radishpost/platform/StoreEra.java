package org.radishpost.platform;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.radishpost.errors.OutdatedResponseException;
import org.radishpost.errors.StoreException;

/**
 * The newest era of the store that a response has named; thread-safe.
 *
 * <p>The era rises each time the store is restored from an earlier copy. A response of an earlier
 * era may name offsets that have been assigned to other records since.
 */
final class StoreEra {
  /** The era of a store that names none. */
  static final long UNNAMED = 0;

  private final AtomicLong newest = new AtomicLong(UNNAMED);
  private final LongAdder outdatedResponses = new LongAdder();

  /** Returns the newest era; {@link #UNNAMED} until a response has named one. */
  long newest() {
    return newest.get();
  }

  /** Returns the number of responses that were dropped because they were of an earlier era. */
  long outdatedResponses() {
    return outdatedResponses.sum();
  }

  /**
   * Returns the era in which a response was created.
   *
   * @param header the value of the response's era header; without one, the newest era is assumed
   * @param known an era that this VM has heard of in another way
   * @throws OutdatedResponseException if it is earlier than the newest era or than {@code known}
   * @throws StoreException if the header is not a number
   */
  long check(Optional<String> header, long known) throws StoreException {
    long atLeast = newest.accumulateAndGet(known, Math::max);
    if (header.isEmpty()) {
      return atLeast;
    }
    long era = parse(header.get());
    if (era < newest.accumulateAndGet(era, Math::max)) {
      outdatedResponses.increment();
      throw new OutdatedResponseException(
          "The response is of era " + era + " of the store, which has ended: read again.");
    }
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
