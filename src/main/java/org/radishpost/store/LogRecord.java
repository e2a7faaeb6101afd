package org.radishpost.store;

/**
 * One record of a stream.
 *
 * @param offset the place in the stream, from 1, rising by 1
 * @param timeMillis when the log took it, in milliseconds since 1970, never falling in a stream
 * @param payload the bytes; not to be changed
 */
public record LogRecord(long offset, long timeMillis, byte[] payload) {}
