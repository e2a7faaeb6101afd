package org.radishpost.store;

import java.time.Duration;
import reactor.core.publisher.Mono;

/**
 * The platform's append-only log: named streams of records with rising offsets.
 *
 * <p>Implementations may be called from any thread. The log keeps records for a limited time, takes
 * several hundred appends a second and has outages. Time limits are the caller's business.
 */
public interface PlatformLog {
  /**
   * Appends one record.
   *
   * @param stream the name of the stream, made at the first append
   * @param payload the bytes of the record
   * @return the record with its offset and the log's time; or {@link
   *     org.radishpost.errors.LogUnavailableException} if nothing landed; or {@link
   *     org.radishpost.errors.AppendUnknownException} if the record may have landed
   */
  Mono<LogRecord> append(String stream, byte[] payload);

  /**
   * Reads the records from an offset on, waiting for the first when there is none yet.
   *
   * @param stream the name of the stream; one that does not exist reads as empty
   * @param fromOffset the first offset wanted, 1 for the start
   * @param maxRecords the most records returned
   * @param wait how long the log may wait for a record; zero for no wait
   * @return what the log had; or {@link org.radishpost.errors.LogUnavailableException}
   */
  Mono<LogPage> read(String stream, long fromOffset, int maxRecords, Duration wait);
}
