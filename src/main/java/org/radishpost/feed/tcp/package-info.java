/**
 * TCP connections between relays and followers.
 *
 * <p>Each frame consists of a four-byte length and a MessagePack message.
 */
package org.radishpost.feed.tcp;
