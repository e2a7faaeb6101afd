package org.radishpost.feed;

import java.util.Optional;

/**
 * A record of a feed, which sets or deletes the value of a key.
 *
 * @param offset the offset of the record in the feed
 * @param key the key
 * @param value the new value of the key; empty if the key is deleted. The array must not be
 *     modified.
 */
public record KeyedRecord(TopicOffset offset, String key, Optional<byte[]> value)
    implements FeedRecord {}
