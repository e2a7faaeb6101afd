package org.radishpost.link;

import org.radishpost.store.VmEntry;
import reactor.core.publisher.Mono;

/** One proved connection to a peer; thread-safe. */
interface Link {
  /** Returns the peer. */
  VmEntry peer();

  /** Returns the session. */
  MacSession session();

  /** Tells whether this end has opened the connection. */
  boolean dialer();

  /** Returns when the connection was opened. */
  long openedNanos();

  /** Returns what heartbeats tell. */
  LinkHealth health();

  /** Returns the counter of what went over the connection. */
  TrafficCounter traffic();

  /** Tells whether either end said that it closes the link because it no longer needs it. */
  boolean released();

  /** Tells whether asks of this end wait for answers. */
  boolean hasPendingRequests();

  /** Sends a message; false when the connection is closed or its queue is full. */
  boolean sendMessage(LinkMessage message);

  /** Asks the peer; the answer, or a failure when the connection closes first. */
  Mono<LinkMessage> request(LinkMessage message);

  /** Sends the heartbeat that is due. */
  void sendHeartbeat();

  /** Tells the peer that this end no longer needs the link, and closes it. */
  void release();

  /** Closes the connection after what is queued has been handed to the operating system. */
  void close();

  /** Completes when the connection is closed. */
  Mono<Void> onClosed();
}
