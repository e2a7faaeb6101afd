package org.radishpost.store;

import java.time.Duration;
import reactor.core.publisher.Mono;

/**
 * The platform's append-only log: named streams of records with increasing offsets.
 *
 * <p>Implementations are thread-safe. The log retains records for a limited time, accepts several
 * hundred appends per second and has outages. Callers must apply their own timeouts.
 */
public interface PlatformLog {
  /**
   * Appends one record.
   *
   * @param stream the name of the stream, which is created by the first append
   * @param payload the bytes of the record
   * @return the record with its offset and the log's time; fails with {@link
   *     org.radishpost.errors.LogUnavailableException} if the record was not appended, and with
   *     {@link org.radishpost.errors.AppendUnknownException} if it may have been appended
   */
  Mono<LogRecord> append(String stream, byte[] payload);

  /**
   * Reads records starting at an offset. If there is no record yet, waits for the first one.
   *
   * @param stream the name of the stream; a stream that does not exist is read as empty
   * @param fromOffset the first offset to read, 1 for the start of the stream
   * @param maxRecords the maximum number of records to return
   * @param wait the maximum time for which the log waits for a record; zero for no wait
   * @return the page; fails with {@link org.radishpost.errors.LogUnavailableException} if the log
   *     could not be read
   */
  Mono<LogPage> read(String stream, long fromOffset, int maxRecords, Duration wait);
}
