package org.radishpost.feed;

import java.util.Optional;

/**
 * One record of a feed.
 *
 * @param offset its place in the feed
 * @param key the key
 * @param value what the key stands for from now on; empty when the key is dropped; not to be
 *     changed
 */
public record KeyedRecord(long offset, String key, Optional<byte[]> value) {}
