package org.radishpost.claims;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.radishpost.lib.Digest;

/**
 * The bounds of the claim protocol, the same on every VM.
 *
 * <p>{@link #SHARD_COUNT}, {@link #MAX_CLOCK_SKEW_MILLIS} and {@link #MAX_EXCLUDED_ATTEMPTS} are
 * part of the protocol: VMs that use other values must not share a log.
 */
public final class ClaimLimits {
  /** The number of streams that claims are spread over. */
  public static final int SHARD_COUNT = 4;

  /** How far the time of a key may be ahead of the log's time. */
  public static final long MAX_CLOCK_SKEW_MILLIS = 60_000;

  /** The most appends a second to one stream, all VMs together. */
  public static final int APPENDS_PER_SECOND = 50;

  /** The appends that an idle stream takes at once. */
  public static final int APPEND_BURST = 5;

  /** The largest record. */
  public static final int MAX_RECORD_BYTES = 65_536;

  /** The largest body that is kept of an answer. */
  public static final int MAX_STORED_BODY_BYTES = 1_024;

  /** The longest content type that is kept of an answer. */
  public static final int MAX_STORED_CONTENT_TYPE_CHARS = 100;

  /** The attempts that a key remembers as never to be granted. */
  static final int MAX_EXCLUDED_ATTEMPTS = 8;

  /** The claims and endings that wait for one stream on one VM. */
  static final int MAX_PENDING_ENTRIES = 20_000;

  /** The memory that one stream's index may take, by estimate. */
  static final long MAX_INDEX_BYTES = 16L << 20;

  /** The records asked for by one read. */
  static final int MAX_RECORDS_PER_READ = 100;

  /** The wait before the log is tried again after a failure. */
  static final long RETRY_DELAY_NANOS = 100_000_000;

  /** How often an idle index looks for new records and for those that have expired. */
  static final long REFRESH_INTERVAL_NANOS = 5_000_000_000L;

  private static final String STREAM_PREFIX = "claims-";

  private ClaimLimits() {}

  /** Returns the stream that holds the claims of a key, which is also the name of its shard. */
  public static String streamOf(Digest key) {
    return STREAM_PREFIX + Long.remainderUnsigned(key.prefix(), SHARD_COUNT);
  }

  /** Returns all streams. */
  public static Stream<String> streams() {
    return IntStream.range(0, SHARD_COUNT).mapToObj(shard -> STREAM_PREFIX + shard);
  }
}
