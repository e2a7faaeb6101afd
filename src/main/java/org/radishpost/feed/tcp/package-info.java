/** Relays and followers over TCP: frames of a length in four bytes and a MessagePack message. */
package org.radishpost.feed.tcp;
