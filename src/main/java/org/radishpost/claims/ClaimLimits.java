package org.radishpost.claims;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.radishpost.lib.Digest;

/**
 * Limits of the claim protocol, the same on every VM.
 *
 * <p>{@link #SHARD_COUNT}, {@link #MAX_CLOCK_SKEW_MILLIS} and {@link #MAX_EXCLUDED_ATTEMPTS} are
 * part of the protocol: VMs with different values must not share a log.
 */
public final class ClaimLimits {
  /** The number of streams over which the claims are distributed. */
  public static final int SHARD_COUNT = 4;

  /** The maximum by which the time in a key may be ahead of the log time. */
  public static final long MAX_CLOCK_SKEW_MILLIS = 60_000;

  /** The maximum rate of appends to one stream by all VMs together. */
  public static final int APPENDS_PER_SECOND = 50;

  /** The number of appends that an idle stream accepts without delay. */
  public static final int APPEND_BURST = 5;

  /** The maximum size of a record. */
  public static final int MAX_RECORD_BYTES = 65_536;

  /** The maximum size of a response body that is stored in an outcome. */
  public static final int MAX_STORED_BODY_BYTES = 1_024;

  /** The maximum length of a content type that is stored in an outcome. */
  public static final int MAX_STORED_CONTENT_TYPE_CHARS = 100;

  /** The maximum number of excluded attempts that are stored for each key. */
  static final int MAX_EXCLUDED_ATTEMPTS = 8;

  /** The maximum number of pending entries of one stream on one VM. */
  static final int MAX_PENDING_ENTRIES = 20_000;

  /** The maximum estimated memory for the index of one stream. */
  static final long MAX_INDEX_BYTES = 16L << 20;

  /** The maximum number of records in one read. */
  static final int MAX_RECORDS_PER_READ = 100;

  /** The delay before a failed read or append is retried. */
  static final long RETRY_DELAY_NANOS = 100_000_000;

  /** The interval at which an idle shard reads the stream to detect new and expired records. */
  static final long REFRESH_INTERVAL_NANOS = 5_000_000_000L;

  private static final String STREAM_PREFIX = "claims-";

  private ClaimLimits() {}

  /**
   * Returns the name of the stream for the claims of a key, which is also the name of its shard.
   */
  public static String streamOf(Digest key) {
    return STREAM_PREFIX + Long.remainderUnsigned(key.prefixAsLong(), SHARD_COUNT);
  }

  /** Returns the names of all claim streams. */
  public static Stream<String> streams() {
    return IntStream.range(0, SHARD_COUNT).mapToObj(shard -> STREAM_PREFIX + shard);
  }
}
