package org.radishpost.store;

/**
 * One record of a stream.
 *
 * @param offset the position in the stream, starting at 1 and increasing by 1
 * @param timeMillis the time at which the log accepted the record, in milliseconds since 1970; it
 *     never decreases within a stream
 * @param payload the bytes; must not be modified
 */
public record LogRecord(long offset, long timeMillis, byte[] payload) {}
