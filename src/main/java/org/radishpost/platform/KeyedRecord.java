package org.radishpost.platform;

import java.util.Optional;

/**
 * One record of a keyed topic.
 *
 * @param offset its place in the topic
 * @param key the key
 * @param value what the key stands for from now on; empty when the key is dropped
 */
record KeyedRecord(long offset, String key, Optional<byte[]> value) {}
