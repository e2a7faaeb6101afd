package org.radishpost.feed;

/**
 * What a relay forwards of a record that repeats the value of its key with a higher sequence
 * number.
 *
 * @param offset the offset of the record in the feed
 * @param key the key
 * @param sequence the sequence number in the value
 */
public record RenewalRecord(TopicOffset offset, String key, long sequence) implements FeedRecord {}
